use masticstair_core::id::{LogIndex, Term};
use masticstair_core::unit::Millis;
use std::time::Duration;

use crate::consensus::ReadError;
use crate::consensus::rules::has_quorum;
use crate::consensus::shared::Shared;

/// Answers a query from a state that contains every command acknowledged before the read began.
pub(crate) async fn read(
    shared: &Shared,
    query: &[u8],
    limit: Duration,
) -> Result<Box<[u8]>, ReadError> {
    match monoio::time::timeout(limit, wait_until_readable(shared)).await {
        Ok(Ok(())) => Ok((shared.state_machine.borrow().query)(query)),
        Ok(Err(e)) => Err(e),
        Err(_) => Err(ReadError::TimedOut(Millis::new(limit.as_millis() as u64))),
    }
}

/// Implements Raft's read index: waits until a quorum replies to a heartbeat round that starts now, then until the commit
/// index at that start is applied.
async fn wait_until_readable(shared: &Shared) -> Result<(), ReadError> {
    let term = leader_term(shared, None)?;
    wait_for_term_start(shared, term).await?;
    let (index, round) = begin_heartbeat_round(shared, term)?;
    loop {
        let seen = shared.signals.replied.version();
        leader_term(shared, Some(term))?;
        if is_confirmed(shared, round) {
            break;
        }
        shared.signals.replied.changed_since(seen).await;
    }
    loop {
        let seen = shared.signals.applied.version();
        if shared.state.borrow().applied_index >= index {
            return Ok(());
        }
        leader_term(shared, Some(term))?;
        shared.signals.applied.changed_since(seen).await;
    }
}

/// Returns the term that this replica leads; an error if it does not lead or leads a term other than
/// `expected`.
fn leader_term(shared: &Shared, expected: Option<Term>) -> Result<Term, ReadError> {
    let state = shared.state.borrow();
    let term = state.hard_state.term;
    let leads = state.leader_state.is_some() && !state.stopped && state.fault.is_none();
    match leads && expected.is_none_or(|e| e == term) {
        true => Ok(term),
        false => Err(ReadError::NotLeader { leader: state.leader_replica() }),
    }
}

/// Waits until an entry of the leader's term is committed. Until then the commit index of a new leader
/// may be behind.
async fn wait_for_term_start(shared: &Shared, term: Term) -> Result<(), ReadError> {
    loop {
        let seen = shared.signals.committed.version();
        leader_term(shared, Some(term))?;
        if shared.state.borrow().is_term_committed() {
            return Ok(());
        }
        shared.signals.committed.changed_since(seen).await;
    }
}

/// Starts a heartbeat round and returns the commit index at its start. Reads that arrive together share a
/// heartbeat, since the reply to a round also confirms all earlier ones.
fn begin_heartbeat_round(shared: &Shared, term: Term) -> Result<(LogIndex, u64), ReadError> {
    leader_term(shared, Some(term))?;
    let mut state = shared.state.borrow_mut();
    let index = state.commit_index;
    let round = state.leader_state.as_mut().map_or(0, |l| {
        l.round += 1;
        l.round
    });
    drop(state);
    shared.signals.state_changed.notify();
    Ok((index, round))
}

fn is_confirmed(shared: &Shared, round: u64) -> bool {
    let state = shared.state.borrow();
    let Some(leader_state) = &state.leader_state else { return false };
    let replied = |id| {
        id == shared.local_replica.id
            || leader_state.progress.get(&id).is_some_and(|p| p.acked_round >= round)
    };
    has_quorum(state.log.voters(), replied)
}
