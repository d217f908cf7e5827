//! Finds peers at startup, and again after a network partition.

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use std::net::SocketAddr;

use super::gossip::exchange;
use super::limits::{JOIN_ATTEMPTS_PER_SEED, JOIN_INTERVAL};
use super::sync::synchronize;
use super::task_context::TaskContext;
use masticstair_core::id::HostId;
use masticstair_policy::membership::HostState;
use rand::seq::IteratorRandom;

/// Synchronizes with the first seed that answers. All seeds are tried concurrently and again at each
/// interval, since a connection to a seed without power is not refused but fails only after a second.
pub(crate) async fn join(cx: TaskContext) {
    let mut attempts = FuturesUnordered::new();
    while !cx.membership.with_tables(|tables, _| tables.synced) {
        let seeds = cx.membership.seeds();
        if attempts.len() < JOIN_ATTEMPTS_PER_SEED * seeds.len() {
            attempts.extend(seeds.iter().map(|seed| try_seed(&cx, *seed)));
        }
        let first_success = monoio::time::timeout(JOIN_INTERVAL, next_success(&mut attempts));
        if let Ok((seed, host)) = first_success.await {
            slog::info!(cx.log, "joined"; "seed" => %seed, "peer" => %host);
            cx.membership.with_tables(|tables, _| {
                tables.synced = true;
                tables.push_pending = true;
            });
            cx.membership.changed.notify();
        }
    }
}

async fn try_seed(cx: &TaskContext, seed: SocketAddr) -> Option<(SocketAddr, HostId)> {
    let client = cx.peers.client_of_address(seed);
    match synchronize(cx, &client, false).await {
        Ok(host) => Some((seed, host)),
        Err(e) => {
            slog::debug!(cx.log, "cannot synchronize with a seed; retrying until one answers";
                "seed" => %seed, "reason" => %e);
            None
        }
    }
}

/// Returns the first seed that answers; never completes once no attempt is left.
async fn next_success<F>(attempts: &mut FuturesUnordered<F>) -> (SocketAddr, HostId)
where
    F: Future<Output = Option<(SocketAddr, HostId)>>,
{
    loop {
        match attempts.next().await {
            Some(Some(success)) => return success,
            Some(None) => {}
            None => std::future::pending().await,
        }
    }
}

/// Contacts one random seed or failed host that is not live in the tables, so that the sides of a healed
/// network partition find each other.
pub(crate) async fn heal(cx: TaskContext) {
    let Some(address) = unreachable_address(&cx) else { return };
    let client = cx.peers.client_of_address(address);
    let Ok(host) = synchronize(&cx, &client, true).await else { return };
    // Lets each of the two hosts refute a failed state that the other one has recorded.
    let _ = exchange(&cx, &host, &client).await;
}

fn unreachable_address(cx: &TaskContext) -> Option<SocketAddr> {
    let seeds = cx.membership.seeds();
    cx.membership.with_tables(|tables, _| {
        let known = |seed: &&SocketAddr| {
            tables.members.iter().any(|m| m.is_live() && m.record.address == **seed)
        };
        let seeds = seeds.iter().filter(|seed| !known(seed)).copied();
        let failed = tables.members.iter().filter(|m| m.record.state == HostState::Failed);
        seeds.chain(failed.map(|m| m.record.address)).choose(&mut rand::rng())
    })
}
