//! Compaction, snapshots and restored disks.
#![allow(clippy::expect_used, clippy::unwrap_used, reason = "helpers of tests")]

mod consensus_common;

use consensus_common::case::{Case, run_cases};
use consensus_common::cluster::Cluster;
use consensus_common::link_state::LinkState;
use consensus_common::{eventually, fast_config};
use masticstair_core::id::LogIndex;
use masticstair_core::unit::ByteCount;
use masticstair_store::consensus::Config;
use std::rc::Rc;
use std::time::Duration;

#[test]
fn snapshots_keep_the_state() {
    let cases = [
        Case {
            name: "snapshot catch-up: a host behind the log's start receives a snapshot in chunks",
            voters: 3,
            spares: 0,
            run: |c| Box::pin(snapshot_catch_up(c)),
        },
        Case {
            name: "lossy snapshot: lost chunks are sent again",
            voters: 3,
            spares: 0,
            run: |c| Box::pin(lossy_snapshot(c)),
        },
        Case {
            name: "restart after compaction: snapshot and tail give the same state",
            voters: 3,
            spares: 0,
            run: |c| Box::pin(restart_after_compaction(c)),
        },
        Case {
            name: "snapshot over a contradicting tail: the tail does not come back",
            voters: 3,
            spares: 0,
            run: |c| Box::pin(snapshot_over_tail(c)),
        },
        Case {
            name: "restored old disk: the replica catches up again",
            voters: 3,
            spares: 0,
            run: |c| Box::pin(restored_disk(c)),
        },
    ];
    run_cases(&config(), &cases);
}

/// Compacts after a few hundred commands.
fn config() -> Config {
    Config { compact_above: ByteCount::new(16 << 10), ..fast_config() }
}

async fn snapshot_catch_up(c: Rc<Cluster>) {
    let behind = c.follower().await;
    c.propose_all(0..10).await;
    c.kill(behind);
    c.propose_all(10..3_000).await;
    let leader = c.node(c.leader().unwrap()).unwrap().status();
    assert!(leader.snapshot_index > LogIndex::new(2_000), "{leader:?}");
    c.start_node(behind);
    c.wait_converged().await;
    let status = c.node(behind).unwrap().status();
    assert!(status.snapshot_index >= leader.snapshot_index, "the host got the entries one by one");
    assert!((0..3_000).all(|command| c.applied_log.count(command) == 1));
}

async fn lossy_snapshot(c: Rc<Cluster>) {
    let behind = c.follower().await;
    c.kill(behind);
    c.propose_all(0..3_000).await;
    c.split(&[behind], &[0, 1, 2], LinkState::Lossy(0.2));
    c.start_node(behind);
    c.wait_converged().await;
}

async fn restart_after_compaction(c: Rc<Cluster>) {
    c.propose_all(0..1_000).await;
    (0..3).for_each(|host| c.kill(host));
    (0..3).for_each(|host| c.start_node(host));
    let leader = c.stable_leader().await;
    let answer = c.node(leader).unwrap().read(&[], Duration::from_secs(2)).await.unwrap();
    assert_eq!(answer.len(), 8 * 1_000);
    c.wait_converged().await;
}

async fn snapshot_over_tail(c: Rc<Cluster>) {
    // The old leader appends commands that reach no other replica, while the others fill their log.
    let old = c.stable_leader().await;
    let rest: Vec<_> = (0..3).filter(|h| *h != old).collect();
    c.split(&[old], &rest, LinkState::Silent);
    let lost = (5_000..5_600).map(|command| c.propose(old, command));
    let lost = futures_util::future::join_all(lost);
    let work = async {
        eventually("another host leads", || c.leader().is_some_and(|h| h != old)).await;
        c.propose_all(0..400).await;
    };
    futures_util::future::join(lost, work).await;
    c.network.heal();
    c.wait_converged().await;
    // A restart must not bring the tail back, even if the disk kept it.
    c.kill(old);
    c.start_node(old);
    c.propose_until_acked(9_000).await;
    c.wait_converged().await;
    assert!((5_000..5_600).all(|command| c.applied_log.count(command) == 0));
}

async fn restored_disk(c: Rc<Cluster>) {
    let host = c.follower().await;
    c.propose_all(0..50).await;
    c.wait_converged().await;
    let copy = c.disk(host).recovered();
    c.propose_all(50..100).await;
    c.wait_converged().await;
    c.kill(host);
    c.disk(host).restore(copy);
    c.start_node(host);
    c.propose_until_acked(1_000).await;
    c.wait_converged().await;
}
