use masticstair_core::id::{LogIndex, Term};
use masticstair_core::message::{AppendReply, AppendRequest};

use super::follow_leader::follow_leader;
use crate::consensus::replica_state::ReplicaState;
use crate::consensus::rules::{AppendVerdict, AppendView, check_append};
use crate::consensus::shared::Shared;
use crate::consensus::{AnswerError, StorageFault};

/// Answers an append or a heartbeat. Entries are acknowledged after the sync; a heartbeat waits for the
/// term only and acknowledges what is synced, so that a slow disk does not look like a lost host.
pub(crate) async fn append(
    shared: &Shared,
    req: AppendRequest,
) -> Result<AppendReply, AnswerError> {
    shared.check_serving()?;
    let (term, round, prev_index) = (req.term, req.round, req.prev_index);
    let reply =
        |term: Term, success, match_index| AppendReply { term, success, match_index, round };
    if let Err(current) = follow_leader(shared, term, req.leader) {
        return Ok(reply(current, false, LogIndex::default()));
    }
    let last = req.entries.last().map(|e| e.index);
    let verdict = accept(shared, req);
    let version = shared.state.borrow().hard_version;
    shared.signals.changed.notify();
    shared.signals.committed.notify();
    match verdict {
        AppendVerdict::Accept { .. } => {}
        AppendVerdict::Mismatch { retry_from } => {
            shared.hard_state_durable(version).await?;
            return Ok(reply(shared.state.borrow().hard.term, false, retry_from));
        }
        AppendVerdict::Malformed => return Err(AnswerError::Malformed(prev_index)),
        AppendVerdict::Diverged { at } => return Err(diverged(shared, at)),
    }
    shared.hard_state_durable(version).await?;
    let is_synced = match last {
        Some(last) => shared.log_durable(last, term).await?,
        None => true,
    };
    let state = shared.state.borrow();
    let matched = last.unwrap_or(prev_index).min(state.log.synced());
    Ok(reply(state.hard.term, is_synced && state.hard.term == term, matched))
}

/// Checks the entries, and merges them into the log when they follow it.
fn accept(shared: &Shared, mut req: AppendRequest) -> AppendVerdict {
    let mut state = shared.state.borrow_mut();
    let verdict = check_append(&view(&state, &|index| state.log.term_at(index)), &req);
    if let AppendVerdict::Accept { new_from } = verdict {
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
    verdict
}

fn view<'a>(state: &ReplicaState, term_at: &'a dyn Fn(LogIndex) -> Option<Term>) -> AppendView<'a> {
    AppendView {
        base: state.log.base_index(),
        last: state.log.last_index(),
        commit: state.commit,
        term_at,
    }
}

fn diverged(shared: &Shared, at: LogIndex) -> AnswerError {
    let fault = StorageFault(format!("committed entry {at} differs from the leader's").into());
    shared.fail(fault.clone());
    fault.into()
}
