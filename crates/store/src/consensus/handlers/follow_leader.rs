use masticstair_core::id::{ReplicaId, Term};
use std::time::Instant;

use crate::consensus::shared::Shared;

/// Follows the leader that sent a message of `term`, or returns the present term when it is higher.
pub(crate) fn follow_leader(shared: &Shared, term: Term, leader: ReplicaId) -> Result<(), Term> {
    let mut state = shared.state.borrow_mut();
    // A second leader in the own term cannot exist; its message is refused as an old one.
    let is_led_here = state.leading.is_some() && term == state.hard.term;
    if term < state.hard.term || is_led_here {
        return Err(state.hard.term);
    }
    if term > state.hard.term || state.leader != Some(leader) {
        state.follow(term, Some(leader));
        state.note_contact(Instant::now());
        drop(state);
        shared.signals.notify_all();
    } else {
        state.note_contact(Instant::now());
    }
    Ok(())
}
