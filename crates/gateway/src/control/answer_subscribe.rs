use masticstair_core::id::HostId;
use masticstair_core::unit::{Millis, Timestamp};
use masticstair_policy::evacuations::EvacuationListing;
use slog::{error, info};
use std::time::Duration;

use super::ControlHost;
use crate::Gateway;
use crate::messages::{CatalogMode, SubscribeReply, SubscribeRequest};
use crate::stages::stage_loads;

/// The longest time that a subscriber waits for an update, whatever it asks for.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// A subscriber that confirms a catalog later than this is logged.
const LATE_CONFIRMATION: Duration = Duration::from_secs(1);

/// Replies to a subscriber as soon as there is an update, or when its wait ends.
pub(crate) async fn answer_subscribe(
    gw: &Gateway,
    control: &ControlHost,
    from: &HostId,
    request: SubscribeRequest,
) -> SubscribeReply {
    let arrived = gw.now();
    control.record_catalog(arrived, &gw.catalog);
    record_confirmation(gw, control, from, &request);
    record_listing(gw, control, from, &request);
    let was_stopping = gw.is_stopping();
    let until = arrived.plus(request.wait.duration().min(MAX_WAIT));
    loop {
        let now = gw.now();
        let update =
            control.table.borrow().changes_after(now, request.incarnation, request.position);
        let due = catalog_due(control, &request, arrived);
        let is_due = due.is_some_and(|at| at <= now);
        let evacuations = newer_evacuations(gw, &request);
        let is_new =
            is_due || update.complete || !update.changes.is_empty() || evacuations.is_some();
        let left = until.since(now);
        if is_new || left.is_zero() || gw.is_stopping() != was_stopping {
            let reply = SubscribeReply {
                software: update.software(),
                feed: update,
                catalog_version: gw.catalog.version(),
                loads: stage_loads(gw),
                held: Millis::new(now.since(arrived).as_millis() as u64),
                evacuations,
                ..SubscribeReply::default()
            };
            let reply = if is_due { add_catalog(gw, control, &request, reply) } else { reply };
            gw.metrics.count_update(&reply);
            return reply;
        }
        control.changed.notified(due.map_or(left, |at| left.min(at.since(now)))).await;
    }
}

fn record_listing(gw: &Gateway, control: &ControlHost, from: &HostId, request: &SubscribeRequest) {
    let is_own = request.incarnation == gw.incarnation;
    let position = if is_own { request.position } else { 0 };
    control.listing_confirmations.borrow_mut().record(
        gw.now(),
        from,
        position,
        request.evacuations,
    );
    control.confirmed.notify();
}

/// Returns the evacuations, if they are newer than those that a subscriber obeys.
fn newer_evacuations(gw: &Gateway, request: &SubscribeRequest) -> Option<EvacuationListing> {
    let in_force = gw.evacuations.borrow();
    let is_newer = request.evacuations.is_some_and(|known| in_force.revision() > known);
    is_newer.then(|| in_force.listing().clone())
}

/// Returns when a subscriber is to be told of a newer catalog; none while there is none.
fn catalog_due(
    control: &ControlHost,
    request: &SubscribeRequest,
    arrived: Timestamp,
) -> Option<Timestamp> {
    let installed = control.confirmations.borrow().installed_after(request.catalog)?;
    let from = match request.catalog_mode {
        CatalogMode::Version => installed,
        CatalogMode::Whole | CatalogMode::Update => arrived,
    };
    Some(from.plus(request.catalog_wait.duration()))
}

/// Adds what the subscriber wants of the catalog, which is newer than that of the subscriber.
fn add_catalog(
    gw: &Gateway,
    control: &ControlHost,
    request: &SubscribeRequest,
    mut reply: SubscribeReply,
) -> SubscribeReply {
    match request.catalog_mode {
        CatalogMode::Version => {}
        CatalogMode::Whole => reply.catalog = gw.catalog.document().map(|d| d.content.to_vec()),
        CatalogMode::Update => match control.recent.borrow_mut().update_from(request.catalog) {
            Ok(Some((version, update))) => {
                reply.catalog_version = version;
                reply.catalog_update = Some(update);
            }
            Ok(None) => {}
            Err(e) => error!(gw.log, "cannot compress the catalog"; "reason" => %e),
        },
    }
    reply
}

fn record_confirmation(
    gw: &Gateway,
    control: &ControlHost,
    from: &HostId,
    request: &SubscribeRequest,
) {
    let mut confirmations = control.confirmations.borrow_mut();
    let delay = confirmations.record_confirmed(gw.now(), from, request.catalog);
    // The requests to control hosts that send no content come later than those to the one that does.
    let Some(delay) = delay.filter(|_| request.catalog_mode != CatalogMode::Version) else {
        return;
    };
    gw.metrics.catalog_delay.observe(delay.as_secs_f64());
    if delay > LATE_CONFIRMATION {
        info!(gw.log, "subscriber confirmed a catalog late"; "peer" => %from,
            "version" => %request.catalog, "delay_ms" => delay.as_millis() as u64);
    }
}
