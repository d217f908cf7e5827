//! Failures of hosts and links in a group of voters.
#![allow(clippy::expect_used, clippy::unwrap_used, reason = "helpers of tests")]

mod consensus_common;

use consensus_common::case::{Case, run_cases};
use consensus_common::cluster::Cluster;
use consensus_common::link_state::LinkState;
use consensus_common::{eventually, fast_config};
use masticstair_store::consensus::{Config, ProposeError, ReadError, Refusal, Role};
use std::rc::Rc;
use std::time::Duration;

#[test]
fn group_survives_failures() {
    let cases = [
        Case {
            name: "leader killed: another one leads and nothing is lost",
            voters: 3,
            spares: 0,
            run: |c| Box::pin(leader_killed(c)),
        },
        Case {
            name: "minority leader: steps down and refuses",
            voters: 5,
            spares: 0,
            run: |c| Box::pin(minority_leader(c)),
        },
        Case {
            name: "one-way partition: the others replace a leader that receives nothing",
            voters: 3,
            spares: 0,
            run: |c| Box::pin(one_way_partition(c)),
        },
        Case {
            name: "partitioned follower: its return does not end the leader's term",
            voters: 3,
            spares: 0,
            run: |c| Box::pin(partitioned_follower(c)),
        },
        Case {
            name: "silent link: commits continue over the other one",
            voters: 3,
            spares: 0,
            run: |c| Box::pin(silent_link(c)),
        },
        Case {
            name: "lossy links: every command is applied once",
            voters: 3,
            spares: 0,
            run: |c| Box::pin(lossy_links(c)),
        },
        Case {
            name: "racing proposals: one claim wins",
            voters: 3,
            spares: 0,
            run: |c| Box::pin(racing_proposals(c)),
        },
        Case {
            name: "transfer: leadership moves without an election timeout",
            voters: 3,
            spares: 0,
            run: |c| Box::pin(transfer(c)),
        },
        Case {
            name: "transfer to an unreachable successor: the leader serves again",
            voters: 3,
            spares: 0,
            run: |c| Box::pin(failed_transfer(c)),
        },
    ];
    run_cases(&fast_config(), &cases);
}

async fn leader_killed(c: Rc<Cluster>) {
    let old = c.stable_leader().await;
    for command in 1..=20 {
        c.propose(old, command).await.unwrap();
    }
    c.kill(old);
    eventually("a new leader", || c.leader().is_some()).await;
    c.propose_until_acked(21).await;
    c.start_node(old);
    c.wait_converged().await;
    assert!((1..=20).all(|command| c.applied_log.count(command) == 1));
}

async fn minority_leader(c: Rc<Cluster>) {
    let old = c.stable_leader().await;
    let other = (old + 1) % 5;
    let rest: Vec<_> = (0..5).filter(|h| *h != old && *h != other).collect();
    c.split(&[old, other], &rest, LinkState::Silent);
    let node = c.node(old).unwrap();
    // The leader has not detected the partition yet; it must not answer from its local state.
    let stale = node.read(&[], Duration::from_millis(40)).await;
    assert!(stale.is_err(), "{stale:?}");
    let lost = c.propose(old, 1).await;
    assert!(matches!(lost, Err(ProposeError::Unknown { .. })), "{lost:?}");
    eventually("the minority leader steps down", || node.status().role != Role::Leader).await;
    let refused = c.propose(old, 2).await;
    assert!(matches!(refused, Err(ProposeError::NotProposed(Refusal::NotLeader { .. }))));
    let read = node.read(&[], Duration::from_millis(100)).await;
    assert!(matches!(read, Err(ReadError::NotLeader { .. })));
    c.propose_until_acked(3).await;
    c.network.heal();
    c.wait_converged().await;
    assert_eq!((c.applied_log.count(1), c.applied_log.count(2)), (0, 0));
}

async fn one_way_partition(c: Rc<Cluster>) {
    let old = c.stable_leader().await;
    for other in (0..3).filter(|h| *h != old) {
        c.set_link(other, old, LinkState::Silent);
    }
    eventually("another host leads", || c.leader().is_some_and(|h| h != old)).await;
    c.propose_until_acked(1).await;
    eventually("the old leader steps down", || {
        c.node(old).unwrap().status().role == Role::Follower
    })
    .await;
    c.network.heal();
    c.wait_converged().await;
}

async fn partitioned_follower(_: Rc<Cluster>) {
    // The default timeouts are long enough on a busy machine that the term must not change at all.
    let c = Cluster::start(Config::default(), 3, 0, 7).await;
    let leader = c.stable_leader().await;
    let isolated = (leader + 1) % 3;
    let rest: Vec<_> = (0..3).filter(|h| *h != isolated).collect();
    let term = c.node(leader).unwrap().status().term;
    c.split(&[isolated], &rest, LinkState::Silent);
    monoio::time::sleep(Duration::from_millis(1_500)).await;
    c.network.heal();
    c.propose(leader, 1).await.unwrap();
    c.wait_converged().await;
    assert!((0..3).all(|host| c.node(host).unwrap().status().term == term));
}

async fn silent_link(c: Rc<Cluster>) {
    let leader = c.stable_leader().await;
    c.split(&[leader], &[(leader + 1) % 3], LinkState::Silent);
    for command in 1..=5 {
        c.propose(leader, command).await.unwrap();
    }
    c.network.heal();
    c.wait_converged().await;
    assert_eq!(c.applied_log.commands(), [1, 2, 3, 4, 5]);
}

async fn lossy_links(c: Rc<Cluster>) {
    c.stable_leader().await;
    c.split(&[0, 1, 2], &[0, 1, 2], LinkState::Lossy(0.1));
    for command in 1..=10 {
        c.propose_until_acked(command).await;
    }
    c.network.heal();
    c.wait_converged().await;
    let mut commands = c.applied_log.commands();
    commands.dedup();
    assert_eq!(commands.len(), c.applied_log.commands().len(), "a command was applied twice");
}

async fn racing_proposals(c: Rc<Cluster>) {
    let leader = c.stable_leader().await;
    // All claim the key 7.
    let claims = (1..=20u64).map(|claim| c.propose(leader, claim << 8 | 7));
    let replies = futures_util::future::join_all(claims).await;
    let won = replies.iter().filter(|r| **r == Ok(0)).count();
    assert_eq!(won, 1, "{replies:?}");
}

async fn transfer(c: Rc<Cluster>) {
    let old = c.stable_leader().await;
    c.propose(old, 1).await.unwrap();
    c.node(old).unwrap().transfer_leadership(Duration::from_secs(1)).await.unwrap();
    eventually("another host leads", || c.leader().is_some_and(|h| h != old)).await;
    c.propose_until_acked(2).await;
    assert_eq!(c.applied_log.count(1), 1);
}

async fn failed_transfer(c: Rc<Cluster>) {
    let old = c.stable_leader().await;
    let others: Vec<_> = (0..3).filter(|h| *h != old).collect();
    // The transfer request is lost, and so is every append.
    others.iter().for_each(|h| c.set_link(old, *h, LinkState::Silent));
    let result = c.node(old).unwrap().transfer_leadership(Duration::from_millis(40)).await;
    assert!(result.is_err(), "{result:?}");
    c.network.heal();
    c.propose_until_acked(1).await;
}
