use rand::Rng;
use std::rc::Rc;
use std::time::Instant;

use super::campaign::campaign;
use crate::consensus::Role;
use crate::consensus::rules::has_quorum;
use crate::consensus::shared::Shared;

/// Stands for election when no leader is heard, and checks the quorum of a leader.
pub(crate) async fn elect(shared: Rc<Shared>) {
    let mut timeout = shared.cfg.election_timeout(rand::rng().random());
    while !shared.is_stopped() {
        let seen = shared.signals.role.version();
        let (role, timer, takeover) = {
            let mut state = shared.state.borrow_mut();
            (state.role, state.timer, std::mem::take(&mut state.takeover))
        };
        let elapsed = timer.elapsed();
        let wait = match role {
            Role::Leader => {
                check_quorum(&shared);
                shared.cfg.heartbeat.duration()
            }
            _ if takeover || elapsed >= timeout => {
                campaign(&shared, takeover).await;
                timeout = shared.cfg.election_timeout(rand::rng().random());
                shared.state.borrow_mut().timer = Instant::now();
                continue;
            }
            _ => timeout.saturating_sub(elapsed),
        };
        let _ = monoio::time::timeout(wait, shared.signals.role.after(seen)).await;
    }
}

/// Steps down when no quorum answered within the longest election timeout.
fn check_quorum(shared: &Shared) {
    let state = shared.state.borrow();
    let Some(leading) = &state.leading else { return };
    let limit = shared.cfg.election_max.duration();
    let answered = |id| match id == shared.me.id {
        true => true,
        false => leading.progress.get(&id).is_some_and(|p| p.last_answer.elapsed() <= limit),
    };
    if has_quorum(state.log.voters(), answered) {
        return;
    }
    let term = state.hard.term;
    drop(state);
    shared.step_down(term, "no answer from a quorum");
}
