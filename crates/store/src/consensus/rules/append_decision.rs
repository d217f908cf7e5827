use masticstair_core::id::LogIndex;

/// The decision on the entries of an append.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AppendDecision {
    /// The previous entry matches. Entries from position `new_from` of the request on are new; the log
    /// is truncated before the first of them.
    Accept {
        /// The number of entries of the request that the log already holds.
        new_from: usize,
    },
    /// The previous entry is missing or has another term.
    Mismatch {
        /// The index from which the leader should send again.
        retry_from: LogIndex,
    },
    /// The entries are not consecutive.
    Malformed,
    /// The entries contradict a committed entry, so one of the two replicas lost synced data.
    Diverged {
        /// The index of the committed entry.
        at: LogIndex,
    },
}
