use masticstair_core::prelude::*;
use masticstair_policy::directory::ServingEndpoint;
use masticstair_policy::endpoint_limits::{LimitNotice, Permit};
use slog::info;
use std::time::Duration;

use crate::cold_permit::request_cold_permit;
use crate::messages::{Message, Reply};
use crate::permission::Permission;
use crate::stages::send_message;
use crate::{Gateway, PeerHost};

/// Hosts that are asked for a permit in turn.
const MAX_OWNERS: usize = 2;

/// A host that gives no answer in this time is left out for a while.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(150);

/// The time allowed for the answer on the connection. A call that misses it closes the connection, which others use.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a permit may wait for the stages of its request. Permits that are used later would add to those of the
/// time in which they are used.
const PERMIT_VALIDITY: Duration = Duration::from_millis(1_500);

/// How long an endpoint with a limit is not used after no host could be asked for a permit.
const NO_OWNER_WAIT: Duration = Duration::from_millis(500);

/// Asks for permission to send a request to an endpoint.
///
/// One control host gives the permits of an endpoint, so that all hosts together keep to its limit however their
/// traffic is distributed. Without an answer the request is not sent.
pub(crate) async fn request_permit(gw: &Gateway, endpoint: &ServingEndpoint) -> Permission {
    let (id, incarnation) = (&endpoint.id, endpoint.incarnation);
    if let Some(budget) = gw.cold_budget(endpoint) {
        return request_cold_permit(gw, endpoint, budget).await;
    }
    let Some(notice) = gw.limits.borrow().limit(gw.now(), id, incarnation) else {
        return Permission::Unlimited;
    };
    let wait = gw.limits.borrow().wait(gw.now(), id, incarnation);
    if !wait.is_zero() {
        return Permission::Denied(wait);
    }
    let permit = ask_owners(gw, notice).await;
    gw.metrics.count_permit(matches!(permit, Permit::Granted));
    match permit {
        Permit::Granted => Permission::Granted(gw.now().plus(PERMIT_VALIDITY)),
        Permit::Denied(wait) => {
            let until = gw.now().plus(wait.duration());
            gw.limits.borrow_mut().record_denial(id, until);
            Permission::Denied(wait.duration())
        }
    }
}

async fn ask_owners(gw: &Gateway, notice: LimitNotice) -> Permit {
    for _ in 0..MAX_OWNERS {
        let Some(owner) = gw.permit_owners.owner_of(gw, notice.endpoint.as_str().as_bytes()) else {
            return take_permit(gw, notice);
        };
        match ask(&owner, notice.clone()).await {
            Ok(permit) => return permit,
            Err(reason) => {
                info!(gw.log, "no answer to request for a permit"; "endpoint" => %notice.endpoint,
                    "owner" => %owner.host, "reason" => reason.as_ref());
                gw.permit_owners.start_backoff(gw.now(), &owner.host);
            }
        }
    }
    Permit::Denied(Millis::new(NO_OWNER_WAIT.as_millis() as u64))
}

async fn ask(owner: &PeerHost, notice: LimitNotice) -> Result<Permit, Box<str>> {
    let message = Message::Permit(notice);
    let reply = send_message(owner, &message, CONNECTION_TIMEOUT);
    match monoio::time::timeout(PERMIT_TIMEOUT, reply).await {
        Ok(Ok(Reply::Permit(permit))) => Ok(permit),
        Ok(Ok(Reply::Refused(reason)) | Err(reason)) => Err(reason),
        Ok(Ok(_)) => Err("reply does not match the message".into()),
        Err(_) => Err(format!("no reply within {} ms", PERMIT_TIMEOUT.as_millis()).into()),
    }
}

/// Gives a permit as the owner. The limit is the newest one that this host or the asking one knows.
pub(crate) fn take_permit(gw: &Gateway, notice: LimitNotice) -> Permit {
    let (endpoint, incarnation) = (notice.endpoint.clone(), notice.incarnation);
    gw.merge_limits(vec![notice]);
    gw.limits.borrow_mut().take_permit(gw.now(), &endpoint, incarnation)
}
