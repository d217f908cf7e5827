//! Membership changes, formation, and replacement of lost hosts.
#![allow(clippy::expect_used, clippy::unwrap_used, reason = "helpers of tests")]

mod consensus_common;

use consensus_common::case::{Case, run_cases};
use consensus_common::cluster::Cluster;
use consensus_common::link_state::LinkState;
use consensus_common::{eventually, fast_config, replica};
use masticstair_core::message::VoterSet;
use masticstair_core::unit::ByteCount;
use masticstair_store::consensus::{
    ChangeError, Config, FormationDecision, Role, decide_formation,
};
use std::rc::Rc;
use std::time::{Duration, Instant};

#[test]
fn group_changes_without_loss() {
    let cases = [
        Case {
            name: "disk lost: the host rejoins under a new id, the old one is removed first",
            voters: 3,
            spares: 0,
            run: |c| Box::pin(disk_lost(c)),
        },
        Case {
            name: "second loss right after a repair: nothing is lost",
            voters: 3,
            spares: 0,
            run: |c| Box::pin(second_loss(c)),
        },
        Case {
            name: "host lost for good: a learner that has caught up replaces it",
            voters: 3,
            spares: 1,
            run: |c| Box::pin(host_lost(c)),
        },
        Case {
            name: "disk lost while another host is replaced: the group recovers when that host returns",
            voters: 3,
            spares: 1,
            run: |c| Box::pin(lost_disk_during_replacement(c)),
        },
        Case {
            name: "learner: never counts towards a quorum",
            voters: 3,
            spares: 2,
            run: |c| Box::pin(learners_do_not_count(c)),
        },
        Case {
            name: "change during a partition: a minority leader's change is undone",
            voters: 5,
            spares: 0,
            run: |c| Box::pin(change_in_partition(c)),
        },
        Case {
            name: "leader removed: it steps down after the commit",
            voters: 3,
            spares: 0,
            run: |c| Box::pin(leader_removed(c)),
        },
    ];
    run_cases(&config(), &cases);
}

/// Compacts after a few hundred commands.
fn config() -> Config {
    Config { compact_above: ByteCount::new(16 << 10), ..fast_config() }
}

async fn disk_lost(c: Rc<Cluster>) {
    c.keep_announcing();
    let lost = c.follower().await;
    c.propose_all(0..1_000).await;
    c.lose_disk(lost);
    c.start_node(lost);
    eventually("the new replica votes", || c.voting_hosts().len() == 3).await;
    let members = c.node(c.leader().unwrap()).unwrap().status().members;
    assert!(members.iter().all(|m| m.replica.id != replica(lost, 0).id), "{members:?}");
    c.wait_converged().await;
}

async fn second_loss(c: Rc<Cluster>) {
    c.keep_announcing();
    let first = c.follower().await;
    c.propose_all(0..1_000).await;
    c.lose_disk(first);
    c.start_node(first);
    eventually("the new replica votes", || c.voting_hosts().len() == 3).await;
    // The repair is complete once the change is committed; until then two of the voters are the quorum.
    c.wait_converged().await;
    let second = c.leader().unwrap();
    c.kill(second);
    c.propose_until_acked(2_000).await;
    assert!((0..1_000).all(|command| c.applied_log.count(command) == 1));
    // The host comes back without its disk and must be repaired as well.
    c.lose_disk(second);
    c.start_node(second);
    eventually("all hosts vote again", || c.voting_hosts().len() == 3).await;
    c.wait_converged().await;
}

async fn host_lost(c: Rc<Cluster>) {
    c.keep_announcing();
    c.propose_all(0..100).await;
    let lost = c.follower().await;
    let began = Instant::now();
    c.kill(lost);
    eventually("the spare votes", || c.voting_hosts().contains(&3)).await;
    assert!(began.elapsed() >= c.cfg.replace_after.duration(), "replaced too early");
    eventually("the lost host is removed from the voters", || !c.voting_hosts().contains(&lost))
        .await;
    c.wait_converged().await;
    assert!(c.is_repaired(3));
    // The group of three tolerates another failure.
    let next = c.leader().unwrap();
    c.kill(next);
    c.propose_until_acked(1_000).await;
}

async fn lost_disk_during_replacement(c: Rc<Cluster>) {
    c.keep_announcing();
    c.propose_all(0..100).await;
    let node = |c: &Cluster| c.node(c.leader().unwrap()).unwrap();
    eventually("the spare is a learner", || node(&c).status().members.len() == 4).await;
    let leader = c.stable_leader().await;
    let down: Vec<_> = (0..3).filter(|h| *h != leader).collect();
    c.kill(down[0]);
    // The second host still counts as reachable when the first one is about to be replaced.
    monoio::time::sleep(c.cfg.replace_after.duration() - Duration::from_millis(40)).await;
    c.lose_disk(down[1]);
    monoio::time::sleep(Duration::from_millis(300)).await;
    c.start_node(down[0]);
    c.start_node(down[1]);
    c.propose_until_acked(1_000).await;
    eventually("three hosts vote again", || c.is_repaired(3)).await;
    c.wait_converged().await;
}

async fn learners_do_not_count(c: Rc<Cluster>) {
    c.keep_announcing();
    let leader = c.stable_leader().await;
    let node = c.node(leader).unwrap();
    eventually("both spares are learners", || node.status().members.len() == 5).await;
    let others: Vec<_> = (0..3).filter(|h| *h != leader).collect();
    others.iter().for_each(|host| c.kill(*host));
    let result = c.propose(leader, 1).await;
    assert!(result.is_err(), "{result:?}");
    eventually("the leader steps down", || node.status().role != Role::Leader).await;
    assert_eq!(c.applied_log.count(1), 0);
}

async fn change_in_partition(c: Rc<Cluster>) {
    let old = c.stable_leader().await;
    let node = c.node(old).unwrap();
    let other = (old + 1) % 5;
    let rest: Vec<_> = (0..5).filter(|h| *h != old && *h != other).collect();
    c.split(&[old, other], &rest, LinkState::Silent);
    // The leader has not detected the partition yet.
    let removed = replica(rest[0], 0).id;
    let voters = (0..5).map(|h| replica(h, 0)).filter(|r| r.id != removed).collect();
    let set = VoterSet { voters, ..VoterSet::default() };
    node.change_voters(set.clone()).unwrap();
    assert!(matches!(node.change_voters(set), Err(ChangeError::InProgress(_))));
    eventually("the majority elects", || c.leader().is_some_and(|h| rest.contains(&h))).await;
    c.propose_until_acked(1).await;
    c.network.heal();
    c.wait_converged().await;
    eventually("the change is undone", || {
        (0..5).all(|h| c.node(h).unwrap().status().members.len() == 5)
    })
    .await;
}

async fn leader_removed(c: Rc<Cluster>) {
    let old = c.stable_leader().await;
    let node = c.node(old).unwrap();
    let voters = (0..3).filter(|h| *h != old).map(|h| replica(h, 0)).collect();
    node.change_voters(VoterSet { voters, ..VoterSet::default() }).unwrap();
    eventually("another host leads", || c.leader().is_some_and(|h| h != old)).await;
    assert_eq!(node.status().role, Role::Follower);
    c.propose_until_acked(1).await;
    assert_eq!(c.voting_hosts().len(), 2);
}

/// Guards against two different initial voter sets, and against a second group after a lost disk.
#[test]
fn group_forms_once() {
    let run = async {
        let c = Cluster::start_empty(fast_config(), 3, 7);
        let initial: Vec<_> = (0..3).map(|h| replica(h, 0).host).collect();
        let decide = |host: usize| {
            let answers: Vec<_> =
                (0..3).filter_map(|h| c.node(h)).map(|n| n.formation_answer()).collect();
            decide_formation(&c.replica(host), &initial, &answers)
        };
        c.kill(2);
        assert_eq!(decide(0), FormationDecision::Wait);
        c.start_node(2);
        let decisions: Vec<_> = (0..3).map(&decide).collect();
        assert_eq!(&decisions[1..], [FormationDecision::Wait, FormationDecision::Wait]);
        let FormationDecision::Form { voters, term } = decisions[0].clone() else {
            panic!("the first host does not form the group: {decisions:?}")
        };
        c.node(0).unwrap().form((*voters).clone(), term).await.unwrap();
        let again = c.node(0).unwrap().form(*voters, term).await;
        assert_eq!(again, Err(ChangeError::AlreadyFormed));
        c.keep_announcing();
        let first = c.propose_until_acked(1).await;
        c.wait_converged().await;
        c.lose_disk(0);
        c.start_node(0);
        assert_eq!(decide(0), FormationDecision::Join);
        eventually("the new replica votes", || c.voting_hosts().len() == 3).await;
        c.propose_until_acked(2).await;
        assert_eq!(c.applied_log.count(first), 1);
    };
    masticstair_net::runtime::block_on(run).unwrap();
}
