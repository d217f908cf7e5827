//! Whether an endpoint has ended, as opposed to a connection or a call to it.

use masticstair_core::prelude::*;
use masticstair_net::http::relay::ProbeOutcome;
use masticstair_policy::directory::ServingEndpoint;
use std::time::Duration;

use crate::Gateway;

/// Within a region a connection is accepted or refused within a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// An endpoint that has sent something in this time is not taken for one that has ended.
const MIN_SILENCE: Duration = Duration::from_millis(200);

/// Returns whether an endpoint has sent nothing for some time, as far as this host knows; it sent nothing on one call since
/// `since`.
pub(crate) fn is_endpoint_silent(gw: &Gateway, endpoint: &EndpointId, since: Timestamp) -> bool {
    gw.now().since(since) >= MIN_SILENCE && !gw.liveness.borrow().has_answered(endpoint, since)
}

/// Returns whether the process of an endpoint has ended.
pub(crate) async fn has_ended(gw: &Gateway, endpoint: &ServingEndpoint) -> bool {
    let (id, incarnation) = (&endpoint.id, endpoint.incarnation);
    if gw.liveness.borrow().has_ended(gw.now(), id, incarnation) {
        return true;
    }
    let has_ended = match gw.pool.probe(endpoint.address, CONNECT_TIMEOUT).await {
        ProbeOutcome::Accepted => false,
        ProbeOutcome::Refused => true,
        // Without a path to the data centre, silence says nothing about the endpoint.
        ProbeOutcome::Silent => {
            !gw.is_cut_off(&endpoint.data_centre) && has_responsive_neighbor(gw, endpoint).await
        }
    };
    if has_ended {
        gw.suspect_restart(endpoint);
        gw.liveness.borrow_mut().record_end(gw.now(), id, incarnation);
    }
    has_ended
}

/// Returns whether another endpoint in the data centre responds: the one that answered last.
async fn has_responsive_neighbor(gw: &Gateway, endpoint: &ServingEndpoint) -> bool {
    let neighbors = gw.directory.borrow().neighbors(endpoint);
    let neighbor = {
        let liveness = gw.liveness.borrow();
        neighbors.into_iter().max_by_key(|e| liveness.last_answer(&e.id))
    };
    let Some(neighbor) = neighbor else { return false };
    gw.pool.probe(neighbor.address, CONNECT_TIMEOUT).await != ProbeOutcome::Silent
}
