use http::StatusCode;
use masticstair_net::http::server::{Request, Response};

use crate::Gateway;

/// Tells the load balancer whether this host takes clients: it knows the newest catalog and does not stop.
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
