use crate::id::Term;

/// The answer to a `VoteRequest`, given after the vote was synced.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct VoteReply {
    /// The term of the voter.
    pub term: Term,
    /// Whether the vote was granted.
    pub granted: bool,
}
