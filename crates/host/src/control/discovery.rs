//! Tells the leader of replicas that are reachable, so that lost voters are replaced.

use masticstair_core::message::Replica;
use masticstair_net::peer::GroupId;
use masticstair_store::consensus::{Node, Role};
use std::time::Duration;

use super::control_context::ControlContext;

/// How often the leader looks for replicas.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(500);
/// How long a host may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Asks the live hosts for their replica while this one leads.
pub(super) async fn discover_replicas(cx: ControlContext, node: Node) {
    loop {
        monoio::time::sleep(DISCOVERY_INTERVAL).await;
        if node.status().role != Role::Leader {
            continue;
        }
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
