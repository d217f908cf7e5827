use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use masticstair_core::prelude::*;
use masticstair_policy::stream_versions::StreamWriter;
use std::time::Duration;

use super::client_request::ClientRequest;
use super::refresh_software::refresh_software;
use super::stream_copies::{holders, retention};
use crate::front_end::{Refusal, RefusalReason};
use crate::messages::{Message, Reply};
use crate::{Gateway, PeerHost};

/// Control hosts that are asked first; they hold the record unless they were out of reach when the stream began.
const FIRST_ASKED: usize = 2;

/// Timeout for the answers of control hosts that are asked together.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(400);

/// Retry delay while control hosts that may hold the record do not answer.
const LOOKUP_RETRY_AFTER: Millis = Millis::new(500);

/// Binds a stream that a client takes up to what wrote its first event. Does nothing for a new stream.
///
/// # Errors
///
/// Refuses the request if that is not known: a stream that went on at another version would be no answer at all.
pub(super) async fn bind_to_writer(gw: &Gateway, req: &mut ClientRequest) -> Result<(), Refusal> {
    if req.meta.resumes.is_none() && req.meta.resume_after.is_none() {
        return Ok(());
    }
    let found = match &req.meta.resumes {
        Some(attempt) => find_writer(gw, attempt).await,
        None => Err(Refusal::not_run(
            RefusalReason::UnknownStream,
            "the request names no attempt that began the stream; begin it anew",
        )),
    };
    let writer = match found {
        Ok(writer) => writer,
        Err(refusal) => confirmed_sole_writer(gw, req, refusal).await?,
    };
    if !req.route.targets.iter().any(|target| target.service == writer.service) {
        let detail = format!("service {} no longer answers this route", writer.service);
        return Err(Refusal::not_run(RefusalReason::UnknownStream, detail));
    }
    req.service = writer.service.clone();
    req.writer = Some(writer);
    if !has_endpoint(gw, req) {
        return Err(no_endpoint(req));
    }
    Ok(())
}

/// Returns what alone can have written any stream of the route that a client may still take up; none if that is not
/// certain. An earlier catalog may have sent the route elsewhere, and a control host that is out of reach may list other
/// versions.
fn sole_writer(gw: &Gateway, req: &ClientRequest) -> Option<StreamWriter> {
    let [target] = req.route.targets.as_slice() else { return None };
    let (now, span) = (gw.now(), retention(&req.route).duration());
    let (_, silent) = gw.control_contacts();
    if now.since(gw.catalog.since()) < span || !silent.is_empty() {
        return None;
    }
    gw.software.borrow().sole_writer(now, &target.service, span)
}

/// Returns the sole writer, if no control host has listed another one by now. What this host knew before may be old: it may
/// have been cut off, or have stood still, while a stream began at a new version elsewhere. That version was listed before
/// the client came here, so a question from now on finds it.
async fn confirmed_sole_writer(
    gw: &Gateway,
    req: &ClientRequest,
    refusal: Refusal,
) -> Result<StreamWriter, Refusal> {
    let Some(before) = sole_writer(gw, req) else { return Err(refusal) };
    if !refresh_software(gw).await {
        return Err(refusal.with_retry_after(LOOKUP_RETRY_AFTER));
    }
    sole_writer(gw, req).filter(|writer| *writer == before).ok_or(refusal)
}

/// Returns whether an endpoint that may go on with a stream takes work.
pub(super) fn has_endpoint(gw: &Gateway, req: &ClientRequest) -> bool {
    gw.endpoints(&req.service).iter().any(|e| req.may_use(e))
}

fn no_endpoint(req: &ClientRequest) -> Refusal {
    let software = req.writer.as_ref().and_then(|writer| writer.software.as_ref());
    let version = software.map_or("no stated version".to_owned(), |v| format!("version {v}"));
    let detail = format!("no endpoint of service {} with {version} takes work", req.service);
    Refusal::not_run(RefusalReason::NoEndpoint, detail)
}

/// Returns who wrote the stream of an attempt.
async fn find_writer(gw: &Gateway, attempt: &CallId) -> Result<StreamWriter, Refusal> {
    if let Some(writer) = gw.streams.borrow().find(gw.now(), attempt) {
        return Ok(writer.clone());
    }
    let holders = holders(gw, attempt);
    let (first, others) = holders.split_at(FIRST_ASKED.min(holders.len()));
    let mut are_silent = false;
    for hosts in [first, others] {
        let mut answers: FuturesUnordered<_> =
            hosts.iter().map(|host| ask_holder(gw, host, attempt)).collect();
        while let Some(answer) = answers.next().await {
            match answer {
                Ok(Some(writer)) => return Ok(writer),
                Ok(None) => {}
                Err(_) => are_silent = true,
            }
        }
    }
    let detail = format!("nobody knows who began the stream of attempt {attempt}");
    let refusal = Refusal::not_run(RefusalReason::UnknownStream, detail);
    Err(if are_silent { refusal.with_retry_after(LOOKUP_RETRY_AFTER) } else { refusal })
}

async fn ask_holder(
    gw: &Gateway,
    host: &PeerHost,
    attempt: &CallId,
) -> Result<Option<StreamWriter>, Box<str>> {
    let message = Message::FindStream(attempt.clone());
    match gw.update_links.send(host, &message, LOOKUP_TIMEOUT).await? {
        Reply::Stream(writer) => Ok(writer),
        _ => Err("reply does not match the message".into()),
    }
}
