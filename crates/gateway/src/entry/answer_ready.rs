use http::StatusCode;
use masticstair_net::http::server::{Request, Response};

use crate::Gateway;

/// Answers the readiness probe of the load balancer: the host is ready while it knows the newest catalog and
/// is not stopping.
pub(crate) fn answer_ready(gw: &Gateway, req: &Request) -> Response {
    if !(gw.front_end.is_ready_probe)(&req.head) {
        return Response::new(StatusCode::NOT_FOUND, "text/plain", "not found\n");
    }
    let ready = !gw.is_stopping() && gw.is_current.get();
    let (status, text) = match ready {
        true => (StatusCode::OK, "ready\n"),
        false => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
    };
    Response::new(status, "text/plain", text)
}
