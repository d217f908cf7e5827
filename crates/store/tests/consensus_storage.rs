//! Disk failures and restarts from disk.
#![allow(clippy::expect_used, clippy::unwrap_used, reason = "helpers of tests")]

mod consensus_common;

use consensus_common::case::{Case, run_cases};
use consensus_common::cluster::Cluster;
use consensus_common::{eventually, fast_config};
use masticstair_core::id::{LogIndex, ReplicaId, Term};
use masticstair_core::message::VoteRequest;
use masticstair_store::consensus::{ProposeError, Refusal, ReplicaFault, Role};
use std::rc::Rc;
use std::time::{Duration, Instant};

#[test]
fn nothing_is_acknowledged_before_its_sync() {
    let cases = [
        Case {
            name: "restart from disk: all hosts come back with every command",
            voters: 3,
            spares: 0,
            run: |c| Box::pin(restart_all(c)),
        },
        Case {
            name: "storage fault on the leader: it steps down and acknowledges nothing",
            voters: 3,
            spares: 0,
            run: |c| Box::pin(storage_fault(c)),
        },
        Case {
            name: "vote: answered after its sync, so that a restart does not vote twice",
            voters: 3,
            spares: 0,
            run: |c| Box::pin(vote_waits_for_sync(c)),
        },
        Case {
            name: "vote: a host with a new disk does not vote as its earlier replica",
            voters: 3,
            spares: 0,
            run: |c| Box::pin(vote_for_replaced_replica(c)),
        },
        Case {
            name: "slow disk on the leader: the followers commit without it",
            voters: 3,
            spares: 0,
            run: |c| Box::pin(slow_disk(c)),
        },
        Case {
            name: "single voter: commits after its own sync",
            voters: 1,
            spares: 0,
            run: |c| Box::pin(single_voter(c)),
        },
    ];
    run_cases(&fast_config(), &cases);
}

async fn restart_all(c: Rc<Cluster>) {
    for round in 0..3 {
        for command in 1..=10 {
            c.propose_until_acked(round * 100 + command).await;
        }
        (0..3).for_each(|host| c.kill(host));
        (0..3).for_each(|host| c.start_node(host));
    }
    c.propose_until_acked(1000).await;
    c.wait_converged().await;
    let all = c.applied_log.commands();
    let held = |command| all.iter().any(|c| c & 0xffff_ffff == command);
    assert!((0..3).all(|round| (1..=10).all(|command| held(round * 100 + command))));
}

async fn storage_fault(c: Rc<Cluster>) {
    let old = c.stable_leader().await;
    c.disk(old).fail_syncs.set(true);
    let node = c.node(old).unwrap();
    // The followers may commit the command without the leader's sync.
    let first = c.propose(old, 1).await;
    eventually("the faulty leader steps down", || node.status().role != Role::Leader).await;
    assert!(node.status().fault.is_some());
    let refused = c.propose(old, 2).await;
    assert!(matches!(
        refused,
        Err(ProposeError::NotProposed(Refusal::Fault(ReplicaFault::Storage(_))))
    ));
    eventually("another host leads", || c.leader().is_some_and(|h| h != old)).await;
    c.propose_until_acked(3).await;
    assert_eq!(c.applied_log.count(2), 0);
    assert!(first.is_err() || c.applied_log.count(1) == 1);
}

async fn vote_waits_for_sync(c: Rc<Cluster>) {
    let leader = c.stable_leader().await;
    let voter = (leader + 1) % 3;
    let node = c.node(voter).unwrap();
    let status = node.status();
    let req = VoteRequest {
        term: Term::new(status.term.get() + 50),
        candidate: c.replica(leader).id,
        voter: c.replica(voter).id,
        last_index: LogIndex::new(u64::MAX),
        last_term: Term::new(u64::MAX),
        pre_vote: false,
        transfer: true,
    };
    c.disk(voter).sync_delay.set(Duration::from_millis(80));
    let began = Instant::now();
    let reply = node.vote(req).await.unwrap();
    assert!(reply.granted && began.elapsed() >= Duration::from_millis(80), "{reply:?}");
    // After the vote, only its durable copy keeps a restarted replica from voting twice.
    assert_eq!(c.disk(voter).recovered().hard_state.voted_for, Some(req.candidate));
    c.kill(voter);
    c.disk(voter).sync_delay.set(Duration::ZERO);
    c.start_node(voter);
    let rival = VoteRequest { candidate: c.replica((leader + 2) % 3).id, ..req };
    let second = c.node(voter).unwrap().vote(rival).await.unwrap();
    assert!(!second.granted, "voted twice in term {}", req.term);
}

/// Guards against a vote by a host for a replica id that belonged to its earlier, lost disk.
async fn vote_for_replaced_replica(c: Rc<Cluster>) {
    let leader = c.stable_leader().await;
    let node = c.node((leader + 1) % 3).unwrap();
    let req = VoteRequest {
        term: Term::new(node.status().term.get() + 50),
        candidate: c.replica(leader).id,
        voter: ReplicaId::random(),
        last_index: LogIndex::new(u64::MAX),
        last_term: Term::new(u64::MAX),
        pre_vote: false,
        transfer: true,
    };
    let reply = node.vote(req).await.unwrap();
    assert!(!reply.granted, "a host voted as the replica that it had before it lost its disk");
}

async fn slow_disk(c: Rc<Cluster>) {
    let leader = c.stable_leader().await;
    c.disk(leader).sync_delay.set(Duration::from_millis(500));
    let began = Instant::now();
    c.propose(leader, 1).await.unwrap();
    assert!(began.elapsed() < Duration::from_millis(500), "the commit waited for the slow disk");
}

async fn single_voter(c: Rc<Cluster>) {
    let leader = c.stable_leader().await;
    c.disk(leader).sync_delay.set(Duration::from_millis(50));
    let began = Instant::now();
    c.propose(leader, 1).await.unwrap();
    assert!(began.elapsed() >= Duration::from_millis(50), "acknowledged before the sync");
    c.kill(leader);
    c.start_node(leader);
    c.propose_until_acked(2).await;
    assert_eq!(c.applied_log.count(1), 1);
}
