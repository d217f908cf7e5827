use masticstair_core::id::{CatalogVersion, HostId};
use slog::info;
use std::time::Duration;

use super::ControlHost;
use crate::Gateway;
use crate::messages::{SubscribeReply, SubscribeRequest};
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
    record_confirmation(gw, control, from, request.catalog);
    let until = gw.now().plus(request.wait.duration().min(MAX_WAIT));
    loop {
        let now = gw.now();
        let update =
            control.table.borrow().changes_after(now, request.incarnation, request.position);
        let document = gw.catalog.document();
        let version = document.as_ref().map(|d| d.version).unwrap_or_default();
        let newer = version > request.catalog;
        let is_new = newer || update.complete || !update.changes.is_empty();
        let left = until.since(now);
        if is_new || left.is_zero() || gw.is_stopping() {
            let catalog = document.filter(|_| newer).map(|d| d.content.to_vec());
            let loads = stage_loads(gw);
            gw.metrics.count_update(&update, catalog.as_deref());
            return SubscribeReply { feed: update, catalog_version: version, catalog, loads };
        }
        control.changed.notified(left).await;
    }
}

fn record_confirmation(
    gw: &Gateway,
    control: &ControlHost,
    from: &HostId,
    version: CatalogVersion,
) {
    let now = gw.now();
    let mut confirmations = control.confirmations.borrow_mut();
    confirmations.record_installed(now, gw.catalog.version());
    let Some(delay) = confirmations.record_confirmed(now, from, version) else { return };
    gw.metrics.catalog_delay.observe(delay.as_secs_f64());
    if delay > LATE_CONFIRMATION {
        info!(gw.log, "subscriber confirmed a catalog late"; "peer" => %from,
            "version" => %version, "delay_ms" => delay.as_millis() as u64);
    }
}
