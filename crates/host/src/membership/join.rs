//! Finds peers: at the start, and again after a partition.

use std::net::SocketAddr;

use super::context::TaskContext;
use super::gossip::exchange;
use super::limits::JOIN_INTERVAL;
use super::sync::synchronize;
use masticstair_policy::membership::HostState;
use monoio::time::sleep;
use rand::seq::{IndexedRandom, IteratorRandom};

/// Gets the records of one seed; tries until one answers.
pub(crate) async fn join(cx: TaskContext) {
    while !cx.membership.with_tables(|tables, _| tables.synced) {
        let Some(seed) = cx.membership.seeds().choose(&mut rand::rng()).copied() else { return };
        let client = cx.peers.client_of_address(seed);
        match synchronize(&cx, &client, false).await {
            Ok(host) => {
                slog::info!(cx.log, "joined"; "seed" => %seed, "host" => %host);
                cx.membership.with_tables(|tables, _| {
                    tables.synced = true;
                    tables.urgent = true;
                });
                cx.membership.changed.notify();
                return;
            }
            Err(e) => {
                slog::debug!(cx.log, "seed does not answer"; "seed" => %seed, "reason" => %e);
                sleep(JOIN_INTERVAL).await;
            }
        }
    }
}

/// Tries one seed or failed host that is not known to be alive, so that the sides of a partition meet again.
pub(crate) async fn heal(cx: TaskContext) {
    let Some(address) = lost_address(&cx) else { return };
    let client = cx.peers.client_of_address(address);
    let Ok(host) = synchronize(&cx, &client, true).await else { return };
    // Lets the host refute what is known of it, and this host what that one knows.
    let _ = exchange(&cx, &host, &client).await;
}

fn lost_address(cx: &TaskContext) -> Option<SocketAddr> {
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
