//! Requests of endpoints: announcement, renewal and departure.

use http::StatusCode;
use masticstair_core::endpoint_api::{Announcement, EndpointState, Lease, LoadReport};
use masticstair_core::prelude::*;
use masticstair_net::http::server::{Request, Response};
use masticstair_policy::endpoint_table::{self, AnnounceError, ServedModel};
use std::sync::Arc;

use crate::membership::Membership;
use crate::state::HostState;

/// Handles `PUT /v1/endpoints/{id}`.
pub(super) fn announce(state: &HostState, id: &str, req: &Request) -> Response {
    match try_announce(state, id, req) {
        Ok(lease_ms) => Response::json(StatusCode::OK, &Lease { lease_ms }),
        Err(problem) => Response::problem(&problem),
    }
}

/// Handles `DELETE /v1/endpoints/{id}?incarnation=N`.
pub(super) fn leave(state: &HostState, id: &str, req: &Request) -> Response {
    match try_leave(state, id, req) {
        Ok(()) => Response::json(StatusCode::OK, &serde_json::json!({})),
        Err(problem) => Response::problem(&problem),
    }
}

fn try_announce(state: &HostState, id: &str, req: &Request) -> Result<Millis, Problem> {
    let membership = membership(state)?;
    let id = parse_id(id)?;
    let announcement: Announcement = serde_json::from_slice(&req.body).map_err(|e| {
        Problem::not_run(400, "announcement-malformed", e.to_string()).with_field("body")
    })?;
    let load = announcement.load;
    let lease =
        membership.announce(table_entry(id.clone(), announcement)).map_err(announce_problem)?;
    if let Some(load) = load {
        membership.record_load(table_load(id, load));
    }
    Ok(lease)
}

fn try_leave(state: &HostState, id: &str, req: &Request) -> Result<(), Problem> {
    let membership = membership(state)?;
    let id = parse_id(id)?;
    let incarnation = req.query("incarnation").and_then(|v| v.parse().ok()).ok_or_else(|| {
        Problem::not_run(400, "incarnation-invalid", "the incarnation is not a whole number")
            .with_field("incarnation")
    })?;
    membership.leave_endpoint(&id, incarnation).map_err(announce_problem)
}

fn membership(state: &HostState) -> Result<&Arc<Membership>, Problem> {
    state.membership.get().ok_or_else(|| {
        Problem::not_run(503, "starting", "this host is still starting").with_retry_after(1)
    })
}

fn announce_problem(e: AnnounceError) -> Problem {
    let status = match e {
        AnnounceError::Outdated { .. } | AnnounceError::Left { .. } => 409,
        AnnounceError::Full { .. } => 429,
        AnnounceError::Unknown { .. } => 404,
    };
    Problem::not_run(status, "announcement-refused", e.to_string()).with_field("endpoint")
}

fn parse_id(id: &str) -> Result<EndpointId, Problem> {
    id.parse().map_err(|e: masticstair_core::id::NameError| {
        Problem::not_run(400, "endpoint-invalid", e.to_string()).with_field("endpoint")
    })
}

fn table_entry(id: EndpointId, announcement: Announcement) -> endpoint_table::Announcement {
    let models = announcement.models.into_iter();
    endpoint_table::Announcement {
        id,
        incarnation: announcement.incarnation,
        leaving: announcement.state == EndpointState::Leaving,
        address: announcement.address,
        pool: announcement.pool,
        kind: announcement.kind,
        data_centre: announcement.data_centre,
        capacity: announcement.capacity,
        models: models.map(|m| ServedModel { name: m.name, version: m.version }).collect(),
    }
}

/// Converts a reported load, clamped to the range that the table stores.
fn table_load(endpoint: EndpointId, load: LoadReport) -> endpoint_table::LoadReport {
    let clamp = |slots: Slots| u16::try_from(slots.get()).unwrap_or(u16::MAX);
    endpoint_table::LoadReport {
        endpoint,
        running: clamp(load.running),
        queued: clamp(load.queued),
    }
}
