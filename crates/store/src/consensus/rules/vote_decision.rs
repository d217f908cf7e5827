/// The decision on a vote request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct VoteDecision {
    pub(crate) granted: bool,
    /// Whether the voter adopts the term of the request.
    pub(crate) adopt_term: bool,
}
