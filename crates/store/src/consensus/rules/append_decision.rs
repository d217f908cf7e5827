use masticstair_core::id::LogIndex;

/// The decision on the entries of an append.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AppendDecision {
    /// The entries follow the log; those from position `new_from` of the request on are new, and the
    /// log is cut before the first of them.
    Accept {
        /// The number of entries that the log already holds.
        new_from: usize,
    },
    /// The log has no matching entry before the first one.
    Mismatch {
        /// The index from which the leader should try again.
        retry_from: LogIndex,
    },
    /// The entries are not consecutive.
    Malformed,
    /// The entries contradict a committed entry: one of the two replicas lost synced data.
    Diverged {
        /// The committed entry.
        at: LogIndex,
    },
}
