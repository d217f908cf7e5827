use masticstair_core::id::ReplicaId;
use masticstair_core::message::{Replica, VoteRequest};
use masticstair_core::unit::Millis;
use std::time::Duration;

use crate::consensus::TransferError;
use crate::consensus::shared::Shared;

/// Transfers the leadership to the voter with the highest match index, and waits until this replica no
/// longer leads.
pub(crate) async fn transfer_leadership(
    shared: &Shared,
    limit: Duration,
) -> Result<(), TransferError> {
    let successor = choose_successor(shared)?;
    set_transferring(shared, true);
    let result = monoio::time::timeout(limit, transfer_to(shared, &successor)).await;
    set_transferring(shared, false);
    result.map_err(|_| TransferError::TimedOut(Millis::new(limit.as_millis() as u64)))
}

/// Returns the reachable voter with the highest match index.
fn choose_successor(shared: &Shared) -> Result<Replica, TransferError> {
    let state = shared.state.borrow();
    let leader_state = state.leader_state.as_ref().ok_or(TransferError::NotLeader)?;
    let set = state.log.voters();
    let live_within = shared.cfg.election_min.duration();
    let live = leader_state.progress.values().filter(|p| p.last_reply_at.elapsed() <= live_within);
    let best = live.filter(|p| set.is_voter(p.replica.id)).max_by_key(|p| p.match_index);
    best.map(|p| p.replica.clone()).ok_or(TransferError::NoSuccessor)
}

fn set_transferring(shared: &Shared, transferring: bool) {
    if let Some(leader_state) = &mut shared.state.borrow_mut().leader_state {
        leader_state.transferring = transferring;
    }
}

async fn transfer_to(shared: &Shared, successor: &Replica) {
    while !is_caught_up(shared, successor.id) {
        let seen = shared.signals.replied.version();
        shared.signals.replied.changed_since(seen).await;
    }
    if let Some(req) = transfer_request(shared, successor.id) {
        // The outcome shows in the term, so a lost reply is ignored.
        let _ = (shared.link(successor).vote)(req).await;
    }
    while shared.state.borrow().leader_state.is_some() {
        let seen = shared.signals.role_changed.version();
        shared.signals.role_changed.changed_since(seen).await;
    }
}

/// Returns whether the successor has the whole log, or this replica no longer leads.
fn is_caught_up(shared: &Shared, successor: ReplicaId) -> bool {
    let state = shared.state.borrow();
    let Some(leader_state) = &state.leader_state else { return true };
    let match_index = leader_state.progress.get(&successor).map(|p| p.match_index);
    match_index == Some(state.log.last_index())
}

/// Returns a vote request that names its receiver as the candidate; `None` if this replica no longer
/// leads.
fn transfer_request(shared: &Shared, successor: ReplicaId) -> Option<VoteRequest> {
    let state = shared.state.borrow();
    state.leader_state.as_ref()?;
    Some(VoteRequest {
        term: state.hard_state.term,
        candidate: successor,
        voter: successor,
        last_index: state.log.last_index(),
        last_term: state.log.last_term(),
        pre_vote: false,
        transfer: true,
    })
}
