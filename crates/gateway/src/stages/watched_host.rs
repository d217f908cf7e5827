use std::cell::Cell;

/// A host that runs stages of this one.
#[derive(Default)]
pub(super) struct WatchedHost {
    /// Calls of this host that wait for it.
    pub(super) calls: Cell<u32>,
    /// Whether a task pings the host.
    pub(super) is_pinged: Cell<bool>,
}
