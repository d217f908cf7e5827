use masticstair_core::message::Replica;
use std::time::Duration;

/// A voter or a learner as the leader sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct MemberView {
    pub(crate) replica: Replica,
    /// The time since its last reply; zero for the leader itself.
    pub(crate) since_last_reply: Duration,
    /// Whether it synced and acknowledged what was committed at an earlier tick of the leader.
    pub(crate) caught_up: bool,
}
