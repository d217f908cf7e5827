use masticstair_core::prelude::*;

/// The statement or the announcement of an endpoint that it is leaving.
#[derive(Clone, Copy, Debug)]
pub(super) struct Departure {
    /// The process that leaves; a later one of the same endpoint starts afresh.
    pub(super) incarnation: Incarnation,
    pub(super) at: Timestamp,
    /// The position of the statement among those that this host knows; 0 for an announcement, which control hosts list.
    pub(super) position: u64,
    /// Whether the endpoint told this host.
    pub(super) is_own: bool,
}
