use masticstair_core::id::LogIndex;
use masticstair_core::message::Replica;
use std::time::Duration;

use crate::consensus::replica_state::ReplicaState;
use crate::consensus::shared::Shared;
use crate::consensus::{NodeStatus, VoterStatus};

/// Returns the state of the node.
pub(crate) fn status(shared: &Shared) -> NodeStatus {
    let state = shared.state.borrow();
    let set = state.log.voters();
    NodeStatus {
        me: shared.me.clone(),
        role: state.role,
        term: state.hard.term,
        leader: state.leader_replica(),
        last: state.log.last_index(),
        commit: state.commit,
        applied: state.applied,
        snapshot: state.snapshot.as_ref().map_or(LogIndex::default(), |s| s.meta.index),
        members: set.all().map(|r| member(shared, &state, r, set.is_voter(r.id))).collect(),
        members_committed: state.log.voters_index() <= state.commit,
        fault: state.fault.clone(),
    }
}

fn member(shared: &Shared, state: &ReplicaState, replica: &Replica, voter: bool) -> VoterStatus {
    let progress = state.leading.as_ref().and_then(|l| l.progress.get(&replica.id));
    let is_leader = state.leading.is_some() && replica.id == shared.me.id;
    let (matched, silent_for) = match progress {
        Some(p) => (Some(p.matched), Some(p.last_answer.elapsed())),
        None if is_leader => (Some(state.log.synced()), Some(Duration::ZERO)),
        None => (None, None),
    };
    VoterStatus { replica: replica.clone(), voter, matched, silent_for }
}
