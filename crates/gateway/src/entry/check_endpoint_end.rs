use masticstair_policy::directory::ServingEndpoint;
use masticstair_policy::poison::{CallProgress, CrashKey, CrashReport, PromptParts};
use slog::warn;
use std::time::Duration;

use super::client_request::ClientRequest;
use crate::Gateway;

/// Within a region a connection is accepted or refused within a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Checks whether an engine has ended, as opposed to one connection to it, after it broke off a request for which it
/// had sent no event. Records the end as evidence on the shared parts of the prompt.
pub(super) async fn check_endpoint_end(
    gw: &Gateway,
    req: &ClientRequest,
    endpoint: &ServingEndpoint,
    progress: CallProgress,
) {
    let Some(prompt) = &req.meta.prompt else { return };
    let at = gw.now();
    if !gw.pool.is_refused(endpoint.address, CONNECT_TIMEOUT).await {
        return;
    }
    gw.metrics.count_endpoint_end(&req.service);
    warn!(gw.log, "endpoint ended during a request"; "request" => %req.meta.call,
        "endpoint" => %endpoint.id, "incarnation" => %endpoint.incarnation,
        "service" => %req.service, "progress" => %progress, "prompt" => %prompt.shared_text());
    let parts: PromptParts = prompt.shared_ids().collect();
    if parts.is_empty() {
        return;
    }
    let crash = CrashKey { endpoint: endpoint.id.clone(), incarnation: endpoint.incarnation };
    let report = CrashReport { service: req.service.clone(), crash, progress, parts, at };
    gw.change_evidence(|table, now| table.record_crash(now, report));
}
