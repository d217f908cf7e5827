use futures_util::future::join_all;
use masticstair_core::prelude::*;
use std::time::Duration;

use crate::messages::{CatalogMode, Message, Reply, SubscribeRequest};
use crate::{Gateway, PeerHost};

/// Timeout for the answers of the control hosts, which are asked together.
const TIMEOUT: Duration = Duration::from_millis(400);

/// Records the software versions that all control hosts list at a moment after the call. Returns false if one of them does
/// not answer, or has been restarted since its last reply, so that it may not know all endpoints again yet.
pub(super) async fn refresh_software(gw: &Gateway) -> bool {
    let (hosts, _) = gw.control_hosts();
    let are_recorded = join_all(hosts.iter().map(|host| record_listed(gw, host))).await;
    !hosts.is_empty() && are_recorded.into_iter().all(|is_recorded| is_recorded)
}

/// Records the versions of what a control host has listed since its last reply. The subscription applies the changes
/// themselves.
async fn record_listed(gw: &Gateway, host: &PeerHost) -> bool {
    let (incarnation, position) = gw.directory.borrow().position(&host.host);
    let request = SubscribeRequest {
        incarnation,
        position,
        catalog: gw.catalog.version(),
        wait: Millis::default(),
        catalog_mode: CatalogMode::Version,
        catalog_wait: Millis::default(),
        evacuations: Some(gw.evacuations.borrow().revision()),
    };
    let sent = gw.update_links.send(host, &Message::Subscribe(request), TIMEOUT).await;
    let Ok(Reply::Subscribe(mut reply)) = sent else { return false };
    reply.feed.add_software(reply.software);
    gw.software.borrow_mut().record(gw.now(), reply.feed.listed());
    reply.feed.incarnation == incarnation
}
