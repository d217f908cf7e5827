use masticstair_core::message::{HardState, VoteReply, VoteRequest};
use slog::info;
use std::time::Instant;

use crate::consensus::rules::grant_vote;
use crate::consensus::shared::Shared;
use crate::consensus::{AnswerError, Role};

/// Answers a request for a vote, after the vote is synced.
///
/// A transfer request that names this replica as the candidate comes from its leader and asks it to
/// stand.
pub(crate) async fn vote(shared: &Shared, req: VoteRequest) -> Result<VoteReply, AnswerError> {
    shared.check_serving()?;
    if req.voter != shared.me.id {
        info!(shared.log, "vote refused: another replica of this host is asked";
            "asked" => %req.voter, "term" => %req.term);
        return Ok(VoteReply { term: shared.state.borrow().hard.term, granted: false });
    }
    if req.candidate == shared.me.id {
        return Ok(take_over(shared, &req));
    }
    let (granted, version) = decide(shared, &req);
    shared.signals.changed.notify();
    if !req.pre_vote {
        shared.hard_state_durable(version).await?;
    }
    Ok(VoteReply { term: shared.state.borrow().hard.term, granted })
}

/// Decides and notes the vote; returns the version of the hard state that has to be synced.
fn decide(shared: &Shared, req: &VoteRequest) -> (bool, u64) {
    let now = Instant::now();
    let mut state = shared.state.borrow_mut();
    let verdict = grant_vote(&state.vote_view(now, shared.cfg.election_min.duration()), req);
    if verdict.adopt_term {
        drop(state);
        shared.step_down(req.term, "a candidate has a higher term");
        state = shared.state.borrow_mut();
    }
    if verdict.granted && !req.pre_vote {
        state.set_hard(HardState { term: req.term, voted_for: Some(req.candidate) });
        state.timer = now;
    }
    (verdict.granted, state.hard_version)
}

/// Stands at once when the request is from the present term and the log is complete.
fn take_over(shared: &Shared, req: &VoteRequest) -> VoteReply {
    let mut state = shared.state.borrow_mut();
    let is_current = req.transfer
        && req.term == state.hard.term
        && req.last_index <= state.log.last_index()
        && state.role == Role::Follower;
    state.takeover |= is_current;
    let term = state.hard.term;
    drop(state);
    shared.signals.role.notify();
    VoteReply { term, granted: is_current }
}
