use masticstair_core::message::VoteRequest;

use super::{VoteDecision, VoteView};

/// Decides on a vote request.
///
/// A replica with a leader refuses without adopting the candidate's term, so that a replica that was
/// partitioned cannot end the term of a working leader.
pub(crate) fn grant_vote(view: &VoteView, req: &VoteRequest) -> VoteDecision {
    const REFUSED: VoteDecision = VoteDecision { granted: false, adopt_term: false };
    if req.term < view.hard_state.term || (view.has_leader && !req.transfer) {
        return REFUSED;
    }
    let newer_term = req.term > view.hard_state.term;
    let vote_is_free =
        newer_term || view.hard_state.voted_for.is_none_or(|voted_for| voted_for == req.candidate);
    let log_is_current = (req.last_term, req.last_index) >= (view.last_term, view.last_index);
    VoteDecision {
        granted: vote_is_free && log_is_current,
        adopt_term: newer_term && !req.pre_vote,
    }
}
