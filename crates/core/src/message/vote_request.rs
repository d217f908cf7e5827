use crate::id::{LogIndex, ReplicaId, Term};

/// A candidate's request for a vote.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct VoteRequest {
    /// The term of the candidate; in a pre-vote the term that it would start.
    pub term: Term,
    /// The replica that requests the vote.
    pub candidate: ReplicaId,
    /// The replica whose vote is requested. A host that lost its disk has a new replica id; it lacks the
    /// entries that the former replica acknowledged and must not vote in its place.
    pub voter: ReplicaId,
    /// The index of the candidate's last entry.
    pub last_index: LogIndex,
    /// The term of that entry.
    pub last_term: Term,
    /// Whether this is a pre-vote, which asks if a vote would be granted and changes no state.
    pub pre_vote: bool,
    /// Whether the leader transfers its leadership to the candidate, so that a recent heartbeat from the
    /// leader is no reason to refuse.
    pub transfer: bool,
}
