use masticstair_core::prelude::*;
use masticstair_net::http::relay::ProbeOutcome;
use masticstair_policy::directory::ServingEndpoint;
use masticstair_policy::poison::{CrashKey, CrashReport, PromptParts};
use masticstair_policy::request_crashes::RequestCrash;
use slog::warn;
use std::rc::Rc;
use std::time::Duration;

use super::failed_call::FailedCall;
use crate::Gateway;
use crate::front_end::Prompt;

/// Within a region a connection is accepted or refused within a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// An endpoint that has sent something in this time is not taken for one that has ended.
const MIN_SILENCE: Duration = Duration::from_millis(200);

/// Returns whether an endpoint has sent nothing for some time, as far as this host knows; it sent nothing on one call since
/// `since`.
pub(super) fn is_endpoint_silent(gw: &Gateway, endpoint: &EndpointId, since: Timestamp) -> bool {
    gw.now().since(since) >= MIN_SILENCE && !gw.liveness.borrow().has_answered(endpoint, since)
}

/// Like `check_endpoint_end`, without waiting for the result.
pub(super) fn spawn_check(gw: &Rc<Gateway>, call: FailedCall) {
    let gw = gw.clone();
    monoio::spawn(async move { check_endpoint_end(&gw, call).await });
}

/// Checks whether an endpoint has ended, as opposed to one connection to it, after a call of it failed. The end is evidence
/// on the request, and before the first event of an answer on the shared parts of its prompt.
pub(super) async fn check_endpoint_end(gw: &Gateway, call: FailedCall) {
    let FailedCall { endpoint, service, content, sent_at, .. } = call;
    let ended_at = gw.now();
    if call.silent_since.is_some_and(|since| !is_endpoint_silent(gw, &endpoint.id, since))
        || !has_ended(gw, &endpoint).await
    {
        return;
    }
    gw.metrics.count_endpoint_end(&service);
    let prompt = call.prompt.as_ref();
    warn!(gw.log, "endpoint ended during a request"; "request" => %call.call,
        "content" => %content, "endpoint" => %endpoint.id,
        "incarnation" => %endpoint.incarnation, "service" => %service,
        "progress" => %call.progress, "has_events" => call.has_events,
        "silent" => call.silent_since.is_some(), "prompt" => prompt.map(Prompt::shared_text));
    let crash = CrashKey { endpoint: endpoint.id.clone(), incarnation: endpoint.incarnation };
    let request_crash = RequestCrash { request: content, crash: crash.clone(), sent_at, ended_at };
    gw.change_request_crashes(|table, now| table.record_crash(now, request_crash));
    let parts: PromptParts = prompt.map(|p| p.shared_ids().collect()).unwrap_or_default();
    if parts.is_empty() || call.has_events || call.silent_since.is_some() {
        return;
    }
    let report = CrashReport { service, crash, progress: call.progress, parts, at: ended_at };
    gw.change_evidence(|table, now| table.record_crash(now, report));
}

async fn has_ended(gw: &Gateway, endpoint: &ServingEndpoint) -> bool {
    let (id, incarnation) = (&endpoint.id, endpoint.incarnation);
    if gw.liveness.borrow().has_ended(gw.now(), id, incarnation) {
        return true;
    }
    let has_ended = match gw.pool.probe(endpoint.address, CONNECT_TIMEOUT).await {
        ProbeOutcome::Accepted => false,
        ProbeOutcome::Refused => true,
        // Without a path to the data centre, silence says nothing about the endpoint.
        ProbeOutcome::Silent => {
            !gw.is_cut_off(&endpoint.data_centre) && has_responsive_neighbor(gw, endpoint).await
        }
    };
    if has_ended {
        gw.liveness.borrow_mut().record_end(gw.now(), id, incarnation);
    }
    has_ended
}

/// Returns whether another endpoint in the data centre responds: the one that answered last.
async fn has_responsive_neighbor(gw: &Gateway, endpoint: &ServingEndpoint) -> bool {
    let neighbors = gw.directory.borrow().neighbors(endpoint);
    let neighbor = {
        let liveness = gw.liveness.borrow();
        neighbors.into_iter().max_by_key(|e| liveness.last_answer(&e.id))
    };
    let Some(neighbor) = neighbor else { return false };
    gw.pool.probe(neighbor.address, CONNECT_TIMEOUT).await != ProbeOutcome::Silent
}
