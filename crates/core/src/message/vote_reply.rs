use crate::id::Term;

/// The reply to a `VoteRequest`, sent after the vote was synced to disk.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct VoteReply {
    /// The term of the voter.
    pub term: Term,
    /// Whether the replica votes, or in a pre-vote would vote, for the candidate.
    pub granted: bool,
}
