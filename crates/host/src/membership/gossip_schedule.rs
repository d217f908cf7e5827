use std::time::Instant;

use masticstair_core::id::Revision;

/// The timers and the progress of the gossip loop.
pub(crate) struct GossipSchedule {
    pub(crate) next_round: Instant,
    pub(crate) next_heal: Instant,
    pub(crate) last_push: Instant,
    /// The newest revision that was pushed to peers.
    pub(crate) pushed_revision: Revision,
}
