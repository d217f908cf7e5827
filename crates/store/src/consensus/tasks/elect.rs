use rand::Rng;
use std::rc::Rc;
use std::time::Instant;

use super::campaign::campaign;
use crate::consensus::Role;
use crate::consensus::rules::has_quorum;
use crate::consensus::shared::Shared;

/// Campaigns when the election timeout passes without a leader or a transfer is requested; checks the
/// quorum of a leader.
pub(crate) async fn elect(shared: Rc<Shared>) {
    let mut timeout = shared.cfg.election_timeout(rand::rng().random());
    while !shared.is_stopped() {
        let seen = shared.signals.role_changed.version();
        let (role, election_timer_start, transfer_requested) = {
            let mut state = shared.state.borrow_mut();
            (state.role, state.election_timer_start, std::mem::take(&mut state.transfer_requested))
        };
        let elapsed = election_timer_start.elapsed();
        let wait = match role {
            Role::Leader => {
                check_quorum(&shared);
                shared.cfg.heartbeat.duration()
            }
            _ if transfer_requested || elapsed >= timeout => {
                campaign(&shared, transfer_requested).await;
                timeout = shared.cfg.election_timeout(rand::rng().random());
                shared.state.borrow_mut().election_timer_start = Instant::now();
                continue;
            }
            _ => timeout.saturating_sub(elapsed),
        };
        let _ = monoio::time::timeout(wait, shared.signals.role_changed.changed_since(seen)).await;
    }
}

/// Steps down when no quorum replied within the longest election timeout.
fn check_quorum(shared: &Shared) {
    let state = shared.state.borrow();
    let Some(leader_state) = &state.leader_state else { return };
    let limit = shared.cfg.election_max.duration();
    let replied = |id| match id == shared.local_replica.id {
        true => true,
        false => leader_state.progress.get(&id).is_some_and(|p| p.last_reply_at.elapsed() <= limit),
    };
    if has_quorum(state.log.voters(), replied) {
        return;
    }
    let term = state.hard_state.term;
    drop(state);
    shared.step_down(term, "no reply from a quorum within the election timeout");
}
