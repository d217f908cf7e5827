//! Endpoints announce themselves, renew and leave.

use http::StatusCode;
use masticstair_core::endpoint_api::{Announcement, Lease};
use masticstair_core::prelude::*;
use masticstair_net::http::server::{Request, Response};

use crate::state::{AnnounceError, ENDPOINT_LEASE, HostState};

/// Answers `PUT /v1/endpoints/{id}`.
pub(super) fn announce(state: &HostState, id: &str, req: &Request) -> Response {
    match try_announce(state, id, req) {
        Ok(()) => Response::json(StatusCode::OK, &Lease { lease_ms: ENDPOINT_LEASE }),
        Err(problem) => Response::problem(&problem),
    }
}

/// Answers `DELETE /v1/endpoints/{id}?incarnation=N`.
pub(super) fn leave(state: &HostState, id: &str, req: &Request) -> Response {
    let incarnation = req.query("incarnation").and_then(|v| v.parse().ok());
    match (parse_id(id), incarnation) {
        (Err(problem), _) => Response::problem(&problem),
        (Ok(_), None) => {
            let problem = Problem::not_run(400, "incarnation-invalid", "not a whole number");
            Response::problem(&problem.with_field("incarnation"))
        }
        (Ok(id), Some(incarnation)) => {
            state.endpoints.leave(&id, incarnation);
            Response::json(StatusCode::OK, &serde_json::json!({}))
        }
    }
}

fn try_announce(state: &HostState, id: &str, req: &Request) -> Result<(), Problem> {
    let id = parse_id(id)?;
    let announcement: Announcement = serde_json::from_slice(&req.body).map_err(|e| {
        Problem::not_run(400, "announcement-malformed", e.to_string()).with_field("body")
    })?;
    let announced = state.endpoints.announce(state.clock.now(), id, announcement);
    announced.map_err(|e: AnnounceError| {
        Problem::not_run(409, "incarnation-conflict", e.to_string()).with_field("incarnation")
    })
}

fn parse_id(id: &str) -> Result<EndpointId, Problem> {
    id.parse().map_err(|e: masticstair_core::id::NameError| {
        Problem::not_run(400, "endpoint-invalid", e.to_string()).with_field("endpoint")
    })
}
