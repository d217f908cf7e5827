use masticstair_core::id::LogIndex;
use masticstair_core::id::Term;
use masticstair_core::message::HardState;

/// What a replica knows when it decides on a vote.
#[derive(Clone, Copy, Debug)]
pub(crate) struct VoteView {
    /// Its term and vote.
    pub(crate) hard_state: HardState,
    /// Its last entry.
    pub(crate) last_index: LogIndex,
    /// The term of that entry.
    pub(crate) last_term: Term,
    /// Whether it leads, or heard from the leader within the shortest election timeout.
    pub(crate) has_leader: bool,
}
