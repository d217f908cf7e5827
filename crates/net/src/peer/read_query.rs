use std::time::Duration;

/// A linearizable read at the leader.
#[derive(Clone, Debug, PartialEq)]
pub struct ReadQuery {
    /// The encoded query.
    pub query: Box<[u8]>,
    /// The time that the leader has for its answer.
    pub budget: Duration,
}
