//! Announces reachable replicas to the local replica while it leads, so that it can replace lost voters.

use masticstair_core::message::Replica;
use masticstair_net::peer::GroupId;
use masticstair_store::consensus::Role;
use std::time::Duration;

use super::control_context::ControlContext;

/// Interval between two rounds of discovery.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of the request to one host.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Asks the live hosts that have a data folder for the identity of their replica, while the local one leads.
pub(super) async fn discover_replicas(cx: ControlContext) {
    loop {
        monoio::time::sleep(DISCOVERY_INTERVAL).await;
        let Some(node) = cx.node().filter(|node| node.status().role == Role::Leader) else {
            continue;
        };
        let snapshot = cx.membership.snapshot();
        for host in snapshot.hosts.iter().filter(|h| h.record.durable) {
            let Some(peer) = &host.peer else { continue };
            let Ok(answer) = peer.formation(GroupId::FIRST, ANSWER_TIMEOUT).await else { continue };
            if let Some(id) = answer.replica {
                let (host, data_centre) =
                    (host.record.host.clone(), host.record.data_centre.clone());
                node.announce(Replica { id, host, data_centre });
            }
        }
    }
}
