use masticstair_core::id::LogIndex;
use masticstair_core::id::Term;
use masticstair_core::message::HardState;

/// The state of a replica as `grant_vote` needs it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct VoteView {
    pub(crate) hard_state: HardState,
    pub(crate) last_index: LogIndex,
    pub(crate) last_term: Term,
    /// Whether it is the leader, or received a message of the leader within the shortest election
    /// timeout.
    pub(crate) has_leader: bool,
}
