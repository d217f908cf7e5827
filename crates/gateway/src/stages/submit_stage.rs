use masticstair_core::prelude::*;
use slog::info;
use std::rc::Rc;
use std::time::Duration;

use super::cancel_guard::CancelGuard;
use super::owners::send_message;
use super::release_results::release_results;
use super::run_stage::run_stage;
use super::stage_end::StageEnd;
use crate::messages::{
    CancelRequest, Message, ReleaseRequest, Reply, StageFailure, StageOutcome, StageRequest,
};
use crate::{Gateway, PeerHost};

/// Hosts that are tried in turn before the local host forms the calls of a stage.
const MAX_OWNERS: usize = 3;

/// Time after the deadline of a stage within which its reply has to arrive.
const ANSWER_MARGIN: Duration = Duration::from_millis(600);

/// Timeout for messages that cancel a stage or release results.
pub(super) const NOTICE_TIMEOUT: Duration = Duration::from_millis(500);

/// Submits a stage to the host that forms the calls of its service, then to the next one if that host does
/// not answer, and finally to the local host. Dropping the future cancels the stage.
pub(crate) async fn submit_stage(gw: &Rc<Gateway>, request: StageRequest) -> StageEnd {
    let started = gw.now();
    for _ in 0..MAX_OWNERS {
        let Some(owner) = gw.owners.owner(gw, &request.service) else { break };
        let request = with_less_time(&request, gw.now().since(started));
        if request.left == Millis::default() {
            let outcome = StageOutcome::Failed(StageFailure::Late);
            return StageEnd { outcome, crashes: Vec::new() };
        }
        if let Some(end) = submit_to(gw, &owner, request).await {
            return end;
        }
    }
    let request = with_less_time(&request, gw.now().since(started));
    let cancel = CancelRequest { call: request.call.clone(), stage: request.stage };
    let guard = CancelGuard::new(gw, None, cancel);
    let reply = run_stage(gw, gw.host.clone(), request.clone()).await;
    guard.disarm();
    gw.stage_times.record_load(gw.now(), reply.load);
    StageEnd { outcome: reply.outcome, crashes: reply.crashes }
}

/// Returns the request with its time limits reduced by `elapsed`.
fn with_less_time(request: &StageRequest, elapsed: Duration) -> StageRequest {
    let elapsed = elapsed.as_millis() as u64;
    let left = Millis::new(request.left.get().saturating_sub(elapsed));
    let due = Millis::new(request.due.get().saturating_sub(elapsed));
    StageRequest { left, due, ..request.clone() }
}

/// Submits a stage to another host; none if that host does not run it.
async fn submit_to(gw: &Rc<Gateway>, owner: &PeerHost, request: StageRequest) -> Option<StageEnd> {
    let cancel = CancelRequest { call: request.call.clone(), stage: request.stage };
    let guard = CancelGuard::new(gw, Some(owner.clone()), cancel);
    let _watched = gw.owners.watch(gw, owner);
    // A call that misses its deadline closes the connection and fails all other calls on it, so the host has
    // to answer before.
    let limit = request.left.duration() + ANSWER_MARGIN;
    let message = Message::Stage(Box::new(request.clone()));
    let received = send_message(owner, &message, limit).await;
    guard.disarm();
    let reason = match received {
        Ok(Reply::Stage(reply)) => {
            gw.stage_times.record_load(gw.now(), reply.load);
            match reply.outcome {
                StageOutcome::Failed(e @ (StageFailure::NoEndpoint | StageFailure::Moved)) => {
                    e.to_string().into()
                }
                outcome => return Some(StageEnd { outcome, crashes: reply.crashes }),
            }
        }
        Ok(Reply::Refused(reason)) => reason,
        Ok(_) => "reply does not match the message".into(),
        Err(reason) => reason,
    };
    info!(gw.log, "stage owner did not run stage; trying another host"; "request" => %request.call,
        "service" => %request.service, "owner" => %owner.host, "reason" => reason.as_ref());
    gw.owners.start_backoff(gw.now(), &owner.host);
    None
}

/// Releases results through the owner of the service, or from this host if the owner does not answer.
pub(crate) fn submit_release(gw: &Rc<Gateway>, service: ServiceName, results: Vec<ResultHandle>) {
    if results.is_empty() {
        return;
    }
    match gw.owners.owner(gw, &service) {
        None => release_results(gw, &gw.stages.service_of(&service), results),
        Some(owner) => {
            let gw = gw.clone();
            monoio::spawn(async move {
                let unreleased = results.clone();
                let message =
                    Message::Release(ReleaseRequest { service: service.clone(), results });
                if send_message(&owner, &message, NOTICE_TIMEOUT).await.is_err() {
                    release_results(&gw, &gw.stages.service_of(&service), unreleased);
                }
            });
        }
    }
}
