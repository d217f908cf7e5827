//! Orders of operators to evacuate a data centre, and to end that.

use futures_channel::oneshot;
use http::StatusCode;
use masticstair_core::prelude::*;
use masticstair_gateway::GatewayEvent;
use masticstair_gateway::control::{EvacuationError, StoreError};
use masticstair_net::http::server::{Request, Response};
use masticstair_policy::bundle_history::SignatureError;
use masticstair_policy::evacuations::{OrderRefusal, SignedOrder};
use std::time::Duration;

use super::command::{newer_revision, read};
use super::{AdminProblem, EvacuationRequest};
use crate::state::HostState;

/// Wait limit for the gateway thread, after which the outcome is unknown.
const ORDER_TIMEOUT: Duration = Duration::from_secs(3);

/// Handles `POST /v1/evacuations/{data_centre}`.
pub(super) async fn order(
    state: &HostState,
    data_centre: &str,
    req: &Request,
) -> Result<Response, Box<AdminProblem>> {
    let Some(_in_flight) = state.drain.enter() else {
        let leaving = Problem::not_run(503, "host-leaving", "this host is shutting down");
        return Err(leaving.with_retry_after(1).into());
    };
    let order = read_order(data_centre, req)?;
    check_signature(state, &order)?;
    let (reply, outcome) = oneshot::channel();
    let SignedOrder { data_centre, action, after, .. } = order;
    let no_gateway =
        || Problem::not_run(409, "no-gateway", "this host runs no gateway; ask another one");
    let gateway = state.gateway.get().ok_or_else(no_gateway)?;
    let event = GatewayEvent::Evacuate { data_centre, action, after: Some(after), reply };
    gateway.unbounded_send(event).map_err(|_| no_gateway())?;
    match monoio::time::timeout(ORDER_TIMEOUT, outcome).await {
        Ok(Ok(Ok(outcome))) => Ok(Response::json(StatusCode::OK, &outcome)),
        Ok(Ok(Err(e))) => Err(order_problem(&e)),
        Ok(Err(_)) | Err(_) => Err(unknown("the gateway of this host did not answer").into()),
    }
}

fn read_order(data_centre: &str, req: &Request) -> Result<SignedOrder, Box<AdminProblem>> {
    let EvacuationRequest { action, after, signer, time, signature } = read(req)?;
    let malformed = |e: SignatureError| {
        Problem::not_run(400, "signature-malformed", e.to_string()).with_field("signature")
    };
    let invalid = |e: masticstair_core::id::NameError| {
        let detail = format!("{data_centre:?}: {e}");
        Problem::not_run(400, "data-centre-invalid", detail).with_field("data_centre")
    };
    let signature = signature.parse().map_err(malformed)?;
    let data_centre = data_centre.parse().map_err(invalid)?;
    Ok(SignedOrder { data_centre, action, after, signer, time, signature })
}

fn check_signature(state: &HostState, order: &SignedOrder) -> Result<(), Box<AdminProblem>> {
    let in_force = state.in_force.get();
    let signers = in_force.as_ref().map_or(&state.cfg.operators, |c| &c.bundle.signers);
    let checked = order.verify(state.clock.wall(), &state.cfg.deployment, signers);
    checked.map_err(|refusal| match newer_revision(state) {
        Some(newest) => {
            let detail = format!("revision {newest} is not yet in force on this host: {refusal}");
            Problem::not_run(503, "host-behind", detail).with_retry_after(1).into()
        }
        None => refusal_problem(&refusal).into(),
    })
}

fn refusal_problem(refusal: &OrderRefusal) -> Problem {
    let (kind, field) = match refusal {
        OrderRefusal::UnknownSigner(_) => ("signer-unknown", "signer"),
        OrderRefusal::NoRight(_) => ("right-missing", "signer"),
        OrderRefusal::BadSignature(_) => ("signature-invalid", "signature"),
        OrderRefusal::Expired { .. } => ("signature-expired", "time"),
    };
    Problem::not_run(403, kind, refusal.to_string()).with_field(field)
}

fn order_problem(e: &EvacuationError) -> Box<AdminProblem> {
    let refused = |status, kind: &str| Problem::not_run(status, kind, e.to_string());
    match e {
        EvacuationError::Full(_) => refused(409, "too-many-evacuations").into(),
        EvacuationError::Outdated(_) => refused(409, "evacuation-moved").with_field("after").into(),
        EvacuationError::Paused => refused(503, "host-paused").with_retry_after(1).into(),
        EvacuationError::Store(StoreError::NotStored(_)) => {
            refused(503, "not-proposed").with_retry_after(1).into()
        }
        EvacuationError::Store(StoreError::Unknown(reason)) => unknown(reason).into(),
    }
}

fn unknown(reason: &str) -> Problem {
    let detail = format!("{reason}; send the same order again to learn its outcome");
    Problem::unknown(503, "outcome-unknown", detail).with_retry_after(1)
}
