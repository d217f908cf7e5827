//! Indirect probes and suspicion of a peer that missed a probe.

use std::sync::Arc;
use std::time::Instant;

use super::gossip::{exchange, random_peers};
use super::limits::{INDIRECT_PROBE_PEERS, INDIRECT_PROBE_TIMEOUT};
use super::task_context::TaskContext;
use futures_util::future::join_all;
use masticstair_core::unit::Timestamp;
use masticstair_net::peer::ProbeRequest;
use masticstair_policy::membership::limits::SUSPECT_AFTER;
use masticstair_policy::membership::{HostRecord, HostState, UpdateKey};
use monoio::time::sleep;

/// Probes a peer that missed a probe through other peers and once more directly, and suspects it if no
/// probe is answered. It gets no regular probes meanwhile, so that one failed host counts only once
/// against the local health.
pub(crate) async fn probe_indirectly(cx: &TaskContext, peer: &Arc<HostRecord>) {
    let started_at = cx.membership.with_tables(|tables, now| {
        if !tables.probed_indirectly.insert(peer.host.clone()) {
            return None;
        }
        if peer.state == HostState::Alive {
            tables.members.health.record(false);
        }
        Some(now)
    });
    let Some(started_at) = started_at else { return };
    let start = Instant::now();
    if !any_probe_answered(cx, peer).await {
        sleep(SUSPECT_AFTER.saturating_sub(start.elapsed())).await;
        suspect_unless_seen(cx, peer, started_at);
    }
    cx.membership.with_tables(|tables, _| tables.probed_indirectly.remove(&peer.host));
}

async fn any_probe_answered(cx: &TaskContext, peer: &Arc<HostRecord>) -> bool {
    let probing_peers = random_peers(cx, INDIRECT_PROBE_PEERS, |r| r.host != peer.host);
    let indirect = probing_peers.into_iter().map(|probing_peer| {
        let client = cx.peers.client(&probing_peer);
        let request = ProbeRequest { host: peer.host.clone(), budget: INDIRECT_PROBE_TIMEOUT };
        async move { client.probe(request).await.unwrap_or(false) }
    });
    let client = cx.peers.client(peer);
    // The first probe may have failed on a dead connection, which has been replaced by now.
    let direct = exchange(cx, &peer.host, &client);
    let (indirect, direct) = futures_util::join!(join_all(indirect), direct);
    direct.is_ok() || indirect.contains(&true)
}

fn suspect_unless_seen(cx: &TaskContext, peer: &HostRecord, started_at: Timestamp) {
    let suspected = cx.membership.with_tables(|tables, now| {
        let member = tables.members.get(&peer.host);
        let seen = member.and_then(|m| m.last_seen).is_some_and(|seen| seen > started_at);
        let same = member.is_some_and(|m| *m.record == *peer);
        if seen || !same || !tables.members.suspect(now, &peer.host) {
            return false;
        }
        tables.record_local_change(now, UpdateKey::Host(peer.host.clone()));
        true
    });
    if suspected {
        slog::info!(cx.log, "host answered no probe and is suspected; it fails unless it refutes the suspicion";
            "host" => %peer.host);
        cx.membership.changed.notify();
    }
}
