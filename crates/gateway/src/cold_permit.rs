use masticstair_core::prelude::*;
use masticstair_policy::directory::ServingEndpoint;
use masticstair_policy::endpoint_limits::Permit;
use masticstair_policy::warmups::{COLD_PERMIT_VALIDITY, ColdBudget};
use slog::info;
use std::time::Duration;

use crate::messages::{ColdPermitRequest, Message, Reply};
use crate::permission::Permission;
use crate::stages::send_message;
use crate::{Gateway, PeerHost};

/// The host that is asked gets no more time. It is less than the validity of a permit, so that the request can still be sent.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(150);

/// The time allowed for the answer on the connection. A call that misses it closes the connection, which others use.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a cold endpoint is not used after its owner gave no answer, or said that it does not own it.
const NO_OWNER_WAIT: Duration = Duration::from_millis(500);

/// Asks for permission to send a request to a cold endpoint. Only the owner gives it: another host would have a bucket of
/// its own. Without an answer the request is not sent.
pub(crate) async fn request_cold_permit(
    gw: &Gateway,
    endpoint: &ServingEndpoint,
    budget: ColdBudget,
) -> Permission {
    let (id, incarnation) = (&endpoint.id, endpoint.incarnation);
    let wait = gw.warmups.borrow().wait(gw.now(), id, incarnation);
    if !wait.is_zero() {
        return Permission::Denied(wait);
    }
    let limit = gw.limits.borrow().limit(gw.now(), id, incarnation);
    let request = ColdPermitRequest { endpoint: id.clone(), incarnation, budget, limit };
    let asked_at = gw.now();
    let permit = match gw.permit_owners.owner_of(gw, id.as_str().as_bytes()) {
        None => take_cold_permit(gw, request),
        Some(owner) if !owner.is_control => denied(),
        Some(owner) => ask(gw, &owner, request).await,
    };
    gw.metrics.count_cold_permit(matches!(permit, Permit::Granted));
    match permit {
        Permit::Granted => Permission::Granted(asked_at.plus(COLD_PERMIT_VALIDITY)),
        Permit::Denied(wait) => {
            let until = gw.now().plus(wait.duration());
            gw.warmups.borrow_mut().record_denial(id, until);
            Permission::Denied(wait.duration())
        }
    }
}

async fn ask(gw: &Gateway, owner: &PeerHost, request: ColdPermitRequest) -> Permit {
    let endpoint = request.endpoint.clone();
    let message = Message::ColdPermit(request);
    let reply = send_message(owner, &message, CONNECTION_TIMEOUT);
    let reason: Box<str> = match monoio::time::timeout(PERMIT_TIMEOUT, reply).await {
        Ok(Ok(Reply::Permit(permit))) => return permit,
        Ok(Ok(Reply::Refused(reason)) | Err(reason)) => reason,
        Ok(Ok(_)) => "reply does not match the message".into(),
        Err(_) => format!("no reply within {} ms", PERMIT_TIMEOUT.as_millis()).into(),
    };
    info!(gw.log, "no answer to request for a permit"; "endpoint" => %endpoint,
        "owner" => %owner.host, "reason" => reason.as_ref());
    denied()
}

fn denied() -> Permit {
    Permit::Denied(Millis::new(NO_OWNER_WAIT.as_millis() as u64))
}

/// Gives a permit for a cold endpoint, if this host is its owner.
pub(crate) fn take_cold_permit(gw: &Gateway, request: ColdPermitRequest) -> Permit {
    let ColdPermitRequest { endpoint, incarnation, budget, limit } = request;
    if !gw.gives_cold_permits(&endpoint) {
        return denied();
    }
    gw.merge_limits(limit.into_iter().collect());
    gw.limits.borrow_mut().take_cold_permit(gw.now(), &endpoint, incarnation, budget)
}
