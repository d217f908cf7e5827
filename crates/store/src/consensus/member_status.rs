use masticstair_core::id::LogIndex;
use masticstair_core::message::Replica;
use std::time::Duration;

/// A voter or a learner on a status page.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberStatus {
    /// The replica.
    pub replica: Replica,
    /// Whether it has a vote.
    pub is_voter: bool,
    /// The last entry that it acknowledged; known to the leader only.
    pub match_index: Option<LogIndex>,
    /// The time since its last answer; known to the leader only.
    pub since_last_reply: Option<Duration>,
}
