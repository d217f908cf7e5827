use masticstair_core::id::LogIndex;
use masticstair_core::message::Replica;
use std::time::Duration;

use crate::consensus::replica_state::ReplicaState;
use crate::consensus::shared::Shared;
use crate::consensus::{MemberStatus, NodeStatus};

pub(crate) fn status(shared: &Shared) -> NodeStatus {
    let state = shared.state.borrow();
    let set = state.log.voters();
    NodeStatus {
        local_replica: shared.local_replica.clone(),
        role: state.role,
        term: state.hard_state.term,
        leader: state.leader_replica(),
        last_index: state.log.last_index(),
        commit_index: state.commit_index,
        applied_index: state.applied_index,
        snapshot_index: state.snapshot.as_ref().map_or(LogIndex::default(), |s| s.meta.index),
        members: set.all().map(|r| member(shared, &state, r, set.is_voter(r.id))).collect(),
        members_committed: state.log.voters_index() <= state.commit_index,
        fault: state.fault.clone(),
    }
}

fn member(
    shared: &Shared,
    state: &ReplicaState,
    replica: &Replica,
    is_voter: bool,
) -> MemberStatus {
    let progress = state.leader_state.as_ref().and_then(|l| l.progress.get(&replica.id));
    let is_leader = state.leader_state.is_some() && replica.id == shared.local_replica.id;
    let (match_index, since_last_reply) = match progress {
        Some(p) => (Some(p.match_index), Some(p.last_reply_at.elapsed())),
        None if is_leader => (Some(state.log.synced_index()), Some(Duration::ZERO)),
        None => (None, None),
    };
    MemberStatus { replica: replica.clone(), is_voter, match_index, since_last_reply }
}
