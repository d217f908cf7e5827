use masticstair_core::prelude::*;

/// The time for which a process of an endpoint wants nothing from this host.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pause {
    /// The process that asked for it; a later one starts afresh.
    pub(super) incarnation: Incarnation,
    pub(super) until: Timestamp,
    /// When the first request after `until` was sent, while its answer is awaited.
    pub(super) trial_at: Option<Timestamp>,
}
