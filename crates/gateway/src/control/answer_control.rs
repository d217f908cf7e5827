use masticstair_core::catalog::{Catalog, CatalogDocument};
use masticstair_core::prelude::*;
use masticstair_net::http::server::{Request, Response};
use masticstair_policy::catalog_register::CatalogReply;
use masticstair_policy::directory::{Announcement, ServingState};
use masticstair_policy::evacuations::EvacuationAction;
use slog::{info, warn};
use std::rc::Rc;
use std::time::Duration;

use super::{ControlHost, EvacuationError, StoreError, order_evacuation};
use crate::Gateway;
use crate::front_end::{ControlReply, ControlRequest};

/// How long to wait until a leaving endpoint is listed; endpoints abandon the leave call after 1 s.
const LISTING_WAIT: Duration = Duration::from_millis(400);

const LISTING_POLL_INTERVAL: Duration = Duration::from_millis(30);

/// How long a departure waits until the subscribers know of it; endpoints wait 1 s for the acknowledgement.
const CONFIRMATION_WAIT: Duration = Duration::from_millis(400);

pub(crate) async fn answer_control(
    gw: Rc<Gateway>,
    control: Rc<ControlHost>,
    req: Request,
) -> Response {
    let reply = match (gw.front_end.read_control)(&req) {
        ControlRequest::Announce(announcement) => announce(&gw, &control, *announcement).await,
        ControlRequest::Leave(id, incarnation) => leave(&gw, &control, &id, incarnation).await,
        ControlRequest::Unusable(reason) => {
            warn!(gw.log, "unusable announcement ignored"; "reason" => reason.as_ref(),
                "path" => req.path());
            ControlReply::Acknowledged
        }
        ControlRequest::Replace(content) => replace(&gw, &control, &content).await,
        ControlRequest::Describe => describe(&gw, &control).await,
        ControlRequest::Evacuate(data_centre, action) => {
            evacuate(&gw, &control, data_centre, action).await
        }
        ControlRequest::Malformed(reason) => {
            warn!(gw.log, "malformed order rejected"; "reason" => reason.as_ref(),
                "path" => req.path());
            ControlReply::Invalid(reason)
        }
        ControlRequest::Unknown => ControlReply::NotFound,
    };
    (gw.front_end.control_response)(&reply)
}

async fn announce(gw: &Gateway, control: &ControlHost, announcement: Announcement) -> ControlReply {
    let endpoint = announcement.endpoint.clone();
    let sequence = announcement.sequence;
    if control.table.borrow_mut().announce(gw.now(), announcement) {
        info!(gw.log, "endpoint announced"; "endpoint" => %endpoint.id,
            "service" => %endpoint.service, "address" => %endpoint.address,
            "data_centre" => %endpoint.data_centre, "state" => ?endpoint.state,
            "incarnation" => %endpoint.incarnation, "sequence" => sequence,
            "capacity" => %endpoint.capacity,
            "software" => endpoint.software.as_ref().map(ToString::to_string));
        control.changed.notify();
        if endpoint.state != ServingState::Ready {
            wait_for_subscribers(gw, control, &endpoint.id).await;
        }
    }
    ControlReply::Acknowledged
}

/// Waits until all subscribers in touch know of the last change, which is the departure of an endpoint. One that does not
/// answer delays the acknowledgement by `CONFIRMATION_WAIT` at most.
async fn wait_for_subscribers(gw: &Gateway, control: &ControlHost, endpoint: &EndpointId) {
    let position = control.table.borrow().position();
    let until = gw.now().plus(CONFIRMATION_WAIT);
    loop {
        let now = gw.now();
        let behind = control.listing_confirmations.borrow().count_behind(now, position);
        if behind == 0 {
            return;
        }
        let left = until.since(now);
        if left.is_zero() {
            info!(gw.log, "departure acknowledged before all subscribers know of it";
                "endpoint" => %endpoint, "subscribers" => behind);
            return;
        }
        control.confirmed.notified(left).await;
    }
}

/// Records that an endpoint leaves. An endpoint that announced itself to another control host may not be
/// listed here yet, so its listing is awaited. If it does not come, the departure spreads like one that an endpoint
/// states in an answer.
async fn leave(
    gw: &Gateway,
    control: &ControlHost,
    id: &EndpointId,
    incarnation: Option<Incarnation>,
) -> ControlReply {
    let arrived = gw.now();
    let is_known =
        || control.table.borrow().contains(id) || gw.directory.borrow().find(id).is_some();
    while !is_known() && gw.now().since(arrived) < LISTING_WAIT {
        monoio::time::sleep(LISTING_POLL_INTERVAL).await;
    }
    let remote = gw.directory.borrow().find(id);
    if control.table.borrow_mut().leave(gw.now(), id, incarnation, remote.as_deref()) {
        info!(gw.log, "endpoint left"; "endpoint" => %id,
            "incarnation" => incarnation.map(|i| i.get()));
        control.changed.notify();
        wait_for_subscribers(gw, control, id).await;
    } else if let (Some(incarnation), false) = (incarnation, is_known()) {
        gw.record_departure(id, incarnation);
        info!(gw.log, "unlisted endpoint left"; "endpoint" => %id, "incarnation" => %incarnation,
            "waited_ms" => gw.now().since(arrived).as_millis() as u64);
    } else {
        info!(gw.log, "departure of an unlisted endpoint ignored"; "endpoint" => %id,
            "known" => is_known(), "waited_ms" => gw.now().since(arrived).as_millis() as u64);
    }
    ControlReply::Acknowledged
}

async fn replace(gw: &Gateway, control: &ControlHost, content: &[u8]) -> ControlReply {
    let document: (CatalogDocument, Catalog) = match (gw.front_end.read_catalog)(content) {
        Ok(read) => read,
        Err(e) => {
            warn!(gw.log, "invalid catalog rejected"; "reason" => %e, "bytes" => content.len());
            return ControlReply::Invalid(e.to_string().into());
        }
    };
    let version = document.0.version;
    match (control.store.replace)(document.0).await {
        Ok(reply @ CatalogReply::OtherContent(held)) => {
            warn!(gw.log, "catalog not stored: its version exists with different content";
                "version" => %version, "held" => %held);
            ControlReply::Stored(reply)
        }
        Ok(reply) => {
            info!(gw.log, "catalog write acknowledged"; "version" => %version, "result" => ?reply);
            ControlReply::Stored(reply)
        }
        Err(e) => uncertain(gw, "catalog write not acknowledged", version, &e),
    }
}

async fn evacuate(
    gw: &Gateway,
    control: &ControlHost,
    data_centre: DataCentreId,
    action: EvacuationAction,
) -> ControlReply {
    match order_evacuation(gw, Some(control), data_centre, action, None).await {
        Ok(outcome) => ControlReply::Evacuated(outcome),
        Err(e @ EvacuationError::Full(_)) => ControlReply::Invalid(e.to_string().into()),
        Err(e) => ControlReply::Unsure(e.to_string().into()),
    }
}

async fn describe(gw: &Gateway, control: &ControlHost) -> ControlReply {
    match (control.store.read)().await {
        Ok(Some(document)) => ControlReply::Catalog(document),
        Ok(None) => ControlReply::Unsure("there is no catalog yet".into()),
        Err(e) => uncertain(gw, "catalog read failed", gw.catalog.version(), &e),
    }
}

fn uncertain(gw: &Gateway, what: &str, version: CatalogVersion, e: &StoreError) -> ControlReply {
    warn!(gw.log, "{}", what; "version" => %version, "reason" => %e);
    ControlReply::Unsure(e.to_string().into())
}
