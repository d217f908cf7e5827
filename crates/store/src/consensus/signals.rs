use super::signal::Signal;

/// The events that the tasks of a node wait for.
#[derive(Debug, Default)]
pub(crate) struct Signals {
    /// The role changed, or an election for a leadership transfer was requested.
    pub(crate) role_changed: Signal,
    /// The log, the hard state or the heartbeat round changed.
    pub(crate) state_changed: Signal,
    /// A write was synced, or storage failed.
    pub(crate) durable: Signal,
    /// The commit index advanced.
    pub(crate) committed: Signal,
    /// The applied index advanced.
    pub(crate) applied: Signal,
    /// A peer replied.
    pub(crate) replied: Signal,
}

impl Signals {
    /// Wakes every task, after a change of role or when the node stops.
    pub(crate) fn notify_all(&self) {
        self.role_changed.notify();
        self.state_changed.notify();
        self.durable.notify();
        self.committed.notify();
        self.applied.notify();
        self.replied.notify();
    }
}
