use masticstair_core::id::{ReplicaId, Term};
use std::time::Instant;

use crate::consensus::shared::Shared;

/// Follows the leader that sent a message of `term`, or returns the present term when it is higher.
pub(crate) fn follow_leader(shared: &Shared, term: Term, leader: ReplicaId) -> Result<(), Term> {
    let mut state = shared.state.borrow_mut();
    // A second leader in the own term cannot exist; its message is refused as an old one.
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
