use super::signal::Signal;

/// What the tasks of a node wait for.
#[derive(Debug, Default)]
pub(crate) struct Signals {
    /// The role changed, or a transfer began.
    pub(crate) role_changed: Signal,
    /// The log, the hard state or the heartbeat round changed.
    pub(crate) state_changed: Signal,
    /// Something was synced, or storage failed.
    pub(crate) durable: Signal,
    /// The commit index rose.
    pub(crate) committed: Signal,
    /// The applied index rose.
    pub(crate) applied: Signal,
    /// A peer answered.
    pub(crate) replied: Signal,
}

impl Signals {
    /// Wakes every task, for a change of role or the end of the node.
    pub(crate) fn notify_all(&self) {
        self.role_changed.notify();
        self.state_changed.notify();
        self.durable.notify();
        self.committed.notify();
        self.applied.notify();
        self.replied.notify();
    }
}
