use masticstair_core::id::LogIndex;
use masticstair_core::message::Replica;
use std::time::Duration;

/// A voter or a learner in `NodeStatus`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberStatus {
    /// The replica id with its host and data centre.
    pub replica: Replica,
    /// Whether it is a voter; false for a learner.
    pub is_voter: bool,
    /// The last entry that it acknowledged; `None` unless the local replica leads.
    pub match_index: Option<LogIndex>,
    /// The time since its last reply; `None` unless the local replica leads.
    pub since_last_reply: Option<Duration>,
}
