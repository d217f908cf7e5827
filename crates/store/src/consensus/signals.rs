use super::signal::Signal;

/// What the tasks of a node wait for.
#[derive(Debug, Default)]
pub(crate) struct Signals {
    /// The role changed, or a transfer began.
    pub(crate) role: Signal,
    /// The log, the hard state or the heartbeat round changed.
    pub(crate) changed: Signal,
    /// Something was synced, or storage failed.
    pub(crate) durable: Signal,
    /// The commit index rose.
    pub(crate) committed: Signal,
    /// The applied index rose.
    pub(crate) applied: Signal,
    /// A peer answered.
    pub(crate) answered: Signal,
}

impl Signals {
    /// Wakes every task, for a change of role or the end of the node.
    pub(crate) fn notify_all(&self) {
        self.role.notify();
        self.changed.notify();
        self.durable.notify();
        self.committed.notify();
        self.applied.notify();
        self.answered.notify();
    }
}
