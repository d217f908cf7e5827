use std::cell::Cell;

/// Calls of this host that wait for another one.
#[derive(Default)]
pub(super) struct WatchedHost {
    pub(super) calls: Cell<u32>,
    /// Whether a task pings the host.
    pub(super) is_pinged: Cell<bool>,
}
