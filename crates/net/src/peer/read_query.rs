use std::time::Duration;

/// A linearizable read at the leader.
#[derive(Clone, Debug, PartialEq)]
pub struct ReadQuery {
    /// The encoded query; opaque to this crate.
    pub query: Box<[u8]>,
    /// Timeout for the reply of the leader.
    pub budget: Duration,
}
