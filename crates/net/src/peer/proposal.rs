use std::time::Duration;

/// A command for the leader.
#[derive(Clone, Debug, PartialEq)]
pub struct Proposal {
    /// The encoded command; opaque to this crate.
    pub command: Box<[u8]>,
    /// Timeout for the reply of the leader.
    pub budget: Duration,
}
