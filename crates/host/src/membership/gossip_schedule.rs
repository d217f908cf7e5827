use std::time::Instant;

use masticstair_core::id::Revision;

/// The state of the loop.
pub(crate) struct GossipSchedule {
    pub(crate) next_round: Instant,
    pub(crate) next_heal: Instant,
    pub(crate) last_push: Instant,
    /// The newest revision that peers were told of.
    pub(crate) pushed_revision: Revision,
}
