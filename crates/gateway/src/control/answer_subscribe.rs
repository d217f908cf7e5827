use std::time::Duration;

use super::ControlHost;
use crate::Gateway;
use crate::messages::{SubscribeReply, SubscribeRequest};
use crate::stages::stage_loads;

/// The longest time that a subscriber waits for an update, whatever it asks for.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Replies to a subscriber as soon as there is an update, or when its wait ends.
pub(crate) async fn answer_subscribe(
    gw: &Gateway,
    control: &ControlHost,
    request: SubscribeRequest,
) -> SubscribeReply {
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
            return SubscribeReply { feed: update, catalog_version: version, catalog, loads };
        }
        control.changed.notified(left).await;
    }
}
