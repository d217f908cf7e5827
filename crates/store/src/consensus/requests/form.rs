use masticstair_core::id::{LogIndex, Term};
use masticstair_core::message::{EntryPayload, LogEntry, VoterSet};

use crate::consensus::rules::FormationAnswer;
use crate::consensus::shared::Shared;
use crate::consensus::{ChangeError, RequestError};

/// Writes the first entry of the log, unless a leader has contacted this replica in the meantime.
pub(crate) async fn form(shared: &Shared, set: VoterSet, term: Term) -> Result<(), ChangeError> {
    let version = {
        let mut state = shared.state.borrow_mut();
        if state.log.last_index() > LogIndex::default() || state.hard_state.term >= term {
            return Err(ChangeError::AlreadyFormed);
        }
        state.adopt_term(term);
        let payload = EntryPayload::Voters(Box::new(set));
        state.log.push(LogEntry { index: LogIndex::new(1), term, payload });
        state.hard_state_version
    };
    shared.signals.state_changed.notify();
    // A storage fault shows in the status, and the replica then never campaigns.
    let _: Result<(), RequestError> = shared.wait_hard_state_durable(version).await;
    Ok(())
}

/// Returns the state of this replica as other initial voters need it.
pub(crate) fn formation_answer(shared: &Shared) -> FormationAnswer {
    let state = shared.state.borrow();
    let log_is_empty = state.log.last_index() == LogIndex::default();
    FormationAnswer {
        replica: shared.local_replica.clone(),
        log_is_empty,
        term: state.hard_state.term,
    }
}
