use crate::id::{LogIndex, ReplicaId, Term};

/// A candidate's request for a vote.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct VoteRequest {
    /// The term of the candidate; for a pre-vote the term that it would start.
    pub term: Term,
    /// The candidate.
    pub candidate: ReplicaId,
    /// The replica that is asked. A host that lost its disk answers as another replica, which holds nothing of
    /// what this one acknowledged and must not vote for it.
    pub voter: ReplicaId,
    /// The candidate's last entry.
    pub last_index: LogIndex,
    /// The term of that entry.
    pub last_term: Term,
    /// Whether this only asks if a vote would be granted; changes no state.
    pub pre_vote: bool,
    /// Whether the leader asked the candidate to take over, so that the leader's recent heartbeat is no
    /// reason to refuse.
    pub transfer: bool,
}
