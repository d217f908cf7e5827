//! Gossip exchanges with peers.

use super::exchange::{
    add_requested_records, compose_request, merge_message, targeted_request, unknown_fingerprints,
};
use super::limits::PROBE_TIMEOUT;
use super::suspicion::probe_indirectly;
use super::task_context::TaskContext;
use futures_util::future::join_all;
use masticstair_core::id::HostId;
use masticstair_net::peer::{PeerClient, PeerError};
use masticstair_policy::membership::{GossipMessage, HostRecord};
use rand::seq::IteratorRandom;
use std::sync::Arc;

/// Exchanges updates with a peer, and probes it indirectly if it does not answer.
pub(crate) async fn exchange_or_probe(cx: TaskContext, peer: Arc<HostRecord>) {
    let client = cx.peers.client(&peer);
    match exchange(&cx, &peer.host, &client).await {
        Ok(()) => cx.membership.with_tables(|tables, _| tables.members.health.record(true)),
        Err(PeerError::Busy { .. }) => {}
        Err(_) => probe_indirectly(&cx, &peer).await,
    }
}

/// Exchanges updates with a peer.
pub(crate) async fn exchange(
    cx: &TaskContext,
    host: &HostId,
    client: &PeerClient,
) -> Result<(), PeerError> {
    let message = cx.membership.with_tables(|tables, now| compose_request(tables, now, host));
    let reply = client.gossip(message, PROBE_TIMEOUT).await?;
    if let Some(follow_up) = merge_reply(cx, host, reply) {
        let reply = client.gossip(follow_up, PROBE_TIMEOUT).await?;
        merge_reply(cx, host, reply);
    }
    Ok(())
}

/// Exchanges updates with up to `count` random live peers concurrently.
pub(crate) async fn exchange_with_random_peers(cx: TaskContext, count: usize) {
    let peers = random_peers(&cx, count, |_| true);
    join_all(peers.into_iter().map(|peer| {
        let cx = cx.clone();
        async move {
            let client = cx.peers.client(&peer);
            // The regular exchanges detect a peer that does not answer.
            let _ = exchange(&cx, &peer.host, &client).await;
        }
    }))
    .await;
}

/// Returns up to `count` random live peers that satisfy `wanted`.
pub(crate) fn random_peers(
    cx: &TaskContext,
    count: usize,
    wanted: impl Fn(&HostRecord) -> bool,
) -> Vec<Arc<HostRecord>> {
    cx.membership.with_tables(|tables, _| {
        let peers = tables.members.live_peers().map(|m| &m.record).filter(|r| wanted(r));
        peers.cloned().choose_multiple(&mut rand::rng(), count)
    })
}

/// Merges a reply and wakes the tasks that its changes concern. Returns a follow-up message if this host
/// lacks updates or the peer requested records.
fn merge_reply(cx: &TaskContext, host: &HostId, mut reply: GossipMessage) -> Option<GossipMessage> {
    let follow_up = cx.membership.with_tables(|tables, now| {
        merge_message(tables, now, host, &mut reply, true);
        let requested_updates = unknown_fingerprints(tables, &reply.updates);
        if reply.requested_records.is_empty() && requested_updates.is_empty() {
            return None;
        }
        let mut message = GossipMessage { requested_updates, ..targeted_request(tables) };
        add_requested_records(tables, &mut message, &reply.requested_records);
        Some(message)
    });
    wake_tasks(cx);
    follow_up
}

/// Wakes the gossip task if local updates or the snapshot are pending, and the bundle task if a peer
/// holds a newer revision.
pub(crate) fn wake_tasks(cx: &TaskContext) {
    let (changed, behind) = cx.membership.with_tables(|tables, _| {
        (tables.push_pending || tables.snapshot_stale, tables.newest_revision > tables.revision)
    });
    if changed {
        cx.membership.changed.notify();
    }
    if behind {
        cx.membership.revision_seen.notify();
    }
}
