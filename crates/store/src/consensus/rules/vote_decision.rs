/// The decision on a request for a vote.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct VoteDecision {
    /// Whether the vote is granted.
    pub(crate) granted: bool,
    /// Whether the voter moves to the term of the request.
    pub(crate) adopt_term: bool,
}
