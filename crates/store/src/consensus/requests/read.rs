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
    match monoio::time::timeout(limit, wait(shared)).await {
        Ok(Ok(())) => Ok((shared.machine.borrow().query)(query)),
        Ok(Err(e)) => Err(e),
        Err(_) => Err(ReadError::TimedOut(Millis::new(limit.as_millis() as u64))),
    }
}

/// Waits for a quorum to answer a heartbeat round that begins now, and for the state to contain what was
/// committed before.
async fn wait(shared: &Shared) -> Result<(), ReadError> {
    let term = leading_term(shared, None)?;
    wait_for_term_start(shared, term).await?;
    let (index, round) = begin_round(shared, term)?;
    loop {
        let seen = shared.signals.answered.version();
        leading_term(shared, Some(term))?;
        if is_confirmed(shared, round) {
            break;
        }
        shared.signals.answered.after(seen).await;
    }
    loop {
        let seen = shared.signals.applied.version();
        if shared.state.borrow().applied >= index {
            return Ok(());
        }
        leading_term(shared, Some(term))?;
        shared.signals.applied.after(seen).await;
    }
}

/// Returns the term that this replica leads.
fn leading_term(shared: &Shared, expected: Option<Term>) -> Result<Term, ReadError> {
    let state = shared.state.borrow();
    let term = state.hard.term;
    let leads = state.leading.is_some() && !state.stopped && state.fault.is_none();
    match leads && expected.is_none_or(|e| e == term) {
        true => Ok(term),
        false => Err(ReadError::NotLeader { leader: state.leader_replica() }),
    }
}

/// A new leader's commit index may be behind until it has committed an entry of its own term.
async fn wait_for_term_start(shared: &Shared, term: Term) -> Result<(), ReadError> {
    loop {
        let seen = shared.signals.committed.version();
        leading_term(shared, Some(term))?;
        if shared.state.borrow().is_term_committed() {
            return Ok(());
        }
        shared.signals.committed.after(seen).await;
    }
}

/// Starts a heartbeat round; reads that arrive together share it.
fn begin_round(shared: &Shared, term: Term) -> Result<(LogIndex, u64), ReadError> {
    leading_term(shared, Some(term))?;
    let mut state = shared.state.borrow_mut();
    let index = state.commit;
    let round = state.leading.as_mut().map_or(0, |l| {
        l.round += 1;
        l.round
    });
    drop(state);
    shared.signals.changed.notify();
    Ok((index, round))
}

fn is_confirmed(shared: &Shared, round: u64) -> bool {
    let state = shared.state.borrow();
    let Some(leading) = &state.leading else { return false };
    let answered = |id| {
        id == shared.me.id || leading.progress.get(&id).is_some_and(|p| p.acked_round >= round)
    };
    has_quorum(state.log.voters(), answered)
}
