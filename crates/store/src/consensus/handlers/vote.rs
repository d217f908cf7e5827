use masticstair_core::message::{HardState, VoteReply, VoteRequest};
use slog::info;
use std::time::Instant;

use crate::consensus::rules::grant_vote;
use crate::consensus::shared::Shared;
use crate::consensus::{RequestError, Role};

/// Handles a vote request; replies after the vote is synced.
///
/// A transfer request that names this replica as the candidate comes from its leader and asks it to
/// start an election at once.
pub(crate) async fn vote(shared: &Shared, req: VoteRequest) -> Result<VoteReply, RequestError> {
    shared.check_serving()?;
    if req.voter != shared.local_replica.id {
        // A host that lost its disk runs a new replica, which holds nothing that the earlier one acknowledged.
        // With its vote, a candidate that lacks committed entries could win.
        info!(shared.log, "rejected vote request addressed to another replica of this host";
            "asked" => %req.voter, "term" => %req.term);
        return Ok(VoteReply { term: shared.state.borrow().hard_state.term, granted: false });
    }
    if req.candidate == shared.local_replica.id {
        return Ok(handle_transfer_request(shared, &req));
    }
    let (granted, version) = decide_vote(shared, &req);
    shared.signals.state_changed.notify();
    if !req.pre_vote {
        shared.wait_hard_state_durable(version).await?;
    }
    Ok(VoteReply { term: shared.state.borrow().hard_state.term, granted })
}

/// Decides on the vote and records it; returns the version of the hard state that must be synced before
/// the reply.
fn decide_vote(shared: &Shared, req: &VoteRequest) -> (bool, u64) {
    let now = Instant::now();
    let mut state = shared.state.borrow_mut();
    let decision = grant_vote(&state.vote_view(now, shared.cfg.election_min.duration()), req);
    if decision.adopt_term {
        drop(state);
        shared.step_down(req.term, "a candidate has a higher term");
        state = shared.state.borrow_mut();
    }
    if decision.granted && !req.pre_vote {
        state.set_hard_state(HardState { term: req.term, voted_for: Some(req.candidate) });
        state.election_timer_start = now;
    }
    (decision.granted, state.hard_state_version)
}

/// Requests an immediate election when the transfer request is of the current term and the local log is not
/// shorter than the leader's.
fn handle_transfer_request(shared: &Shared, req: &VoteRequest) -> VoteReply {
    let mut state = shared.state.borrow_mut();
    let is_current = req.transfer
        && req.term == state.hard_state.term
        && req.last_index <= state.log.last_index()
        && state.role == Role::Follower;
    state.transfer_requested |= is_current;
    let term = state.hard_state.term;
    drop(state);
    shared.signals.role_changed.notify();
    VoteReply { term, granted: is_current }
}
