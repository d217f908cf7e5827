use masticstair_policy::poison::{CrashKey, CrashReport, PromptParts};
use masticstair_policy::request_crashes::RequestCrash;
use slog::warn;
use std::rc::Rc;

use super::failed_call::FailedCall;
use crate::Gateway;
use crate::endpoint_end::{has_ended, is_endpoint_silent};
use crate::front_end::Prompt;

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
