use masticstair_core::message::Replica;
use std::time::Duration;

/// What the leader knows of a voter or a learner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberView {
    /// The replica.
    pub replica: Replica,
    /// The time since its last answer; zero for the leader itself.
    pub since_last_reply: Duration,
    /// Whether it has acknowledged everything that was committed a moment ago, after its sync.
    pub caught_up: bool,
}
