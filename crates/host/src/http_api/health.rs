//! Health, readiness and metrics.

use http::StatusCode;
use masticstair_net::http::server::Response;

use crate::state::HostState;

/// The media type of the OpenMetrics text format.
const OPENMETRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Handles `GET /readyz`, by which the load balancer decides whether to send requests to this host.
pub(super) fn readiness(state: &HostState) -> Response {
    let unready = |reason: &str| {
        Response::new(StatusCode::SERVICE_UNAVAILABLE, "text/plain", format!("{reason}\n"))
    };
    if state.drain.is_leaving() {
        return unready("shutting down");
    }
    match state.serving() {
        Err(e) => unready(&e.to_string()),
        Ok(config) => {
            let text = format!("ready, revision {}\n", config.revision);
            Response::new(StatusCode::OK, "text/plain", text)
        }
    }
}

/// Handles `GET /metrics`. Gauges are set here, when they are read.
pub(super) fn metrics(state: &HostState) -> Response {
    let metrics = &state.metrics;
    metrics.in_flight.set(i64::from(state.drain.in_flight()));
    if let Some(membership) = state.membership.get() {
        metrics.endpoints.set(membership.snapshot().endpoints.len() as i64);
    }
    if let Some(config) = state.in_force.get() {
        metrics.revision.set(config.revision.get() as i64);
    }
    Response::new(StatusCode::OK, OPENMETRICS, metrics.encode())
}
