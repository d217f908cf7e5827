use masticstair_policy::directory::ServingEndpoint;
use slog::warn;
use std::time::Duration;

use super::call_progress::CallProgress;
use super::client_request::ClientRequest;
use crate::Gateway;

/// Within a region a connection is accepted or refused within a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Checks whether an engine has ended, as opposed to one connection to it, after it broke off a request for which it
/// had sent no event. Records the end and the shared parts of the prompt.
pub(super) async fn check_endpoint_end(
    gw: &Gateway,
    req: &ClientRequest,
    endpoint: &ServingEndpoint,
    progress: CallProgress,
) {
    let Some(prompt) = &req.meta.prompt else { return };
    if !gw.pool.is_refused(endpoint.address, CONNECT_TIMEOUT).await {
        return;
    }
    gw.metrics.count_endpoint_end(&req.service);
    warn!(gw.log, "endpoint ended during a request"; "request" => %req.meta.call,
        "endpoint" => %endpoint.id, "incarnation" => %endpoint.incarnation,
        "service" => %req.service, "progress" => %progress, "prompt" => %prompt.shared_text());
}
