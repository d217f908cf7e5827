use masticstair_core::id::{ReplicaId, Term};
use std::time::Instant;

use crate::consensus::shared::Shared;

/// Becomes a follower of the leader that sent a message of `term`; returns the current term as an error
/// when the message is stale.
pub(crate) fn follow_leader(shared: &Shared, term: Term, leader: ReplicaId) -> Result<(), Term> {
    let mut state = shared.state.borrow_mut();
    // There is at most one leader per term, so a message of another leader in the local term is refused
    // as stale.
    let is_local_leader = state.leader_state.is_some() && term == state.hard_state.term;
    if term < state.hard_state.term || is_local_leader {
        return Err(state.hard_state.term);
    }
    if term > state.hard_state.term || state.leader != Some(leader) {
        state.become_follower(term, Some(leader));
        state.record_leader_contact(Instant::now());
        drop(state);
        shared.signals.notify_all();
    } else {
        state.record_leader_contact(Instant::now());
    }
    Ok(())
}
