use masticstair_core::id::{LogIndex, Term};
use masticstair_core::message::{AppendReply, AppendRequest};

use super::follow_leader::follow_leader;
use crate::consensus::replica_state::ReplicaState;
use crate::consensus::rules::{AppendDecision, AppendView, check_append};
use crate::consensus::shared::Shared;
use crate::consensus::{ReplicaFault, RequestError};

/// Handles an append or a heartbeat. Entries are acknowledged after the sync. A heartbeat waits only for
/// the hard state and reports the synced index, so that a slow disk is not mistaken for a lost host.
pub(crate) async fn append(
    shared: &Shared,
    req: AppendRequest,
) -> Result<AppendReply, RequestError> {
    shared.check_serving()?;
    let (term, round, prev_index) = (req.term, req.round, req.prev_index);
    let reply =
        |term: Term, success, match_index| AppendReply { term, success, match_index, round };
    if let Err(current) = follow_leader(shared, term, req.leader) {
        return Ok(reply(current, false, LogIndex::default()));
    }
    let last = req.entries.last().map(|e| e.index);
    let decision = merge_entries(shared, req);
    let version = shared.state.borrow().hard_state_version;
    shared.signals.state_changed.notify();
    shared.signals.committed.notify();
    match decision {
        AppendDecision::Accept { .. } => {}
        AppendDecision::Mismatch { retry_from } => {
            shared.wait_hard_state_durable(version).await?;
            return Ok(reply(shared.state.borrow().hard_state.term, false, retry_from));
        }
        AppendDecision::Malformed => return Err(RequestError::Malformed(prev_index)),
        AppendDecision::Diverged { at } => return Err(report_divergence(shared, at)),
    }
    shared.wait_hard_state_durable(version).await?;
    let is_synced = match last {
        Some(last) => shared.wait_log_durable(last, term).await?,
        None => true,
    };
    let state = shared.state.borrow();
    let match_index = last.unwrap_or(prev_index).min(state.log.synced_index());
    Ok(reply(state.hard_state.term, is_synced && state.hard_state.term == term, match_index))
}

/// Validates the entries and merges them into the log when the previous entry matches.
fn merge_entries(shared: &Shared, mut req: AppendRequest) -> AppendDecision {
    let mut state = shared.state.borrow_mut();
    let decision = check_append(&view(&state, &|index| state.log.term_at(index)), &req);
    if let AppendDecision::Accept { new_from } = decision {
        let last = req.entries.last().map_or(req.prev_index, |e| e.index);
        let new = req.entries.split_off(new_from);
        if let Some(first) = new.first().map(|e| e.index)
            && first <= state.log.last_index()
        {
            state.log.truncate(first);
        }
        new.into_iter().for_each(|entry| state.log.push(entry));
        state.raise_commit(req.commit.min(last));
    }
    decision
}

fn view<'a>(state: &ReplicaState, term_at: &'a dyn Fn(LogIndex) -> Option<Term>) -> AppendView<'a> {
    AppendView {
        base_index: state.log.base_index(),
        last_index: state.log.last_index(),
        commit_index: state.commit_index,
        term_at,
    }
}

fn report_divergence(shared: &Shared, at: LogIndex) -> RequestError {
    let fault = ReplicaFault::Diverged(at);
    shared.handle_fault(fault.clone());
    fault.into()
}
