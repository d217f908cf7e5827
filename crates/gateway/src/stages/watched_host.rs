use std::cell::Cell;

/// What waits for a host.
#[derive(Default)]
pub(super) struct WatchedHost {
    pub(super) calls: Cell<u32>,
    /// Whether a task pings the host.
    pub(super) is_pinged: Cell<bool>,
}
