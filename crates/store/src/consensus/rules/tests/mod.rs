//! Table tests of the protocol rules.

use masticstair_core::id::{LogIndex, ReplicaId, Term};
use masticstair_core::message::{Replica, VoterSet};
use std::time::Duration;

use super::{MemberView, MembershipView};

mod append;
mod change;
mod commit;
mod formation;
mod plan;
mod vote;

fn id(n: u8) -> ReplicaId {
    ReplicaId::from_bytes([n; 16])
}

fn index(n: u64) -> LogIndex {
    LogIndex::new(n)
}

fn term(n: u64) -> Term {
    Term::new(n)
}

/// Replica `n` on host `hN` in data centre `dc(N % 3)`.
fn replica(n: u8) -> Replica {
    on_host(n, n)
}

fn on_host(n: u8, host: u8) -> Replica {
    Replica {
        id: id(n),
        host: format!("h{host}").parse().unwrap(),
        data_centre: format!("dc{}", host % 3).parse().unwrap(),
    }
}

fn set(voters: &[u8], learners: &[u8]) -> VoterSet {
    VoterSet {
        voters: voters.iter().map(|n| replica(*n)).collect(),
        learners: learners.iter().map(|n| replica(*n)).collect(),
    }
}

/// A group with leader 0. Members in `silent` last replied 100 s ago; those in `lagging` are behind.
fn view(of: VoterSet, silent: &[u8], lagging: &[u8], announced: &[Replica]) -> MembershipView {
    let is = |list: &[u8], r: &Replica| list.iter().any(|n| id(*n) == r.id);
    let member = |r: &Replica| MemberView {
        replica: r.clone(),
        since_last_reply: Duration::from_secs(if is(silent, r) { 100 } else { 0 }),
        caught_up: !is(lagging, r) && !is(silent, r),
    };
    MembershipView {
        leader: id(0),
        members: of.all().map(member).collect(),
        voter_set: of,
        uncommitted_change: None,
        term_committed: true,
        announced: announced.to_vec(),
        live_within: Duration::from_secs(1),
        replace_after: Duration::from_secs(60),
        target_voters: 3,
        max_learners: 2,
    }
}
