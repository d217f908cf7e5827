use std::time::Duration;

/// A command for the leader.
#[derive(Clone, Debug, PartialEq)]
pub struct Proposal {
    /// The encoded command.
    pub command: Box<[u8]>,
    /// The time that the leader has for its answer.
    pub budget: Duration,
}
