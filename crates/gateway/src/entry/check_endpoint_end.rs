use masticstair_policy::directory::ServingEndpoint;
use masticstair_policy::poison::{CallProgress, CrashKey, CrashReport, PromptParts};
use slog::warn;
use std::time::Duration;

use super::client_request::ClientRequest;
use crate::Gateway;
use crate::front_end::Prompt;

/// Within a region a connection is accepted or refused within a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Checks whether an endpoint has ended, as opposed to one connection to it, after it broke off a request. Before the first
/// event of an answer, the end is evidence on the shared parts of the prompt.
pub(super) async fn check_endpoint_end(
    gw: &Gateway,
    req: &ClientRequest,
    endpoint: &ServingEndpoint,
    progress: CallProgress,
    has_events: bool,
) {
    let at = gw.now();
    if !gw.pool.is_refused(endpoint.address, CONNECT_TIMEOUT).await {
        return;
    }
    gw.metrics.count_endpoint_end(&req.service);
    let prompt = req.meta.prompt.as_ref();
    warn!(gw.log, "endpoint ended during a request"; "request" => %req.meta.call,
        "content" => %req.digest(), "endpoint" => %endpoint.id,
        "incarnation" => %endpoint.incarnation, "service" => %req.service,
        "progress" => %progress, "has_events" => has_events,
        "prompt" => prompt.map(Prompt::shared_text));
    let parts: PromptParts = prompt.map(|p| p.shared_ids().collect()).unwrap_or_default();
    if parts.is_empty() || has_events {
        return;
    }
    let crash = CrashKey { endpoint: endpoint.id.clone(), incarnation: endpoint.incarnation };
    let report = CrashReport { service: req.service.clone(), crash, progress, parts, at };
    gw.change_evidence(|table, now| table.record_crash(now, report));
}
