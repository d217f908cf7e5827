use masticstair_core::id::LogIndex;
use masticstair_core::message::LogEntry;

/// Entries on their way to storage.
#[derive(Debug)]
pub(crate) struct UnsyncedEntries {
    /// The epoch of the log.
    pub(crate) epoch: u64,
    /// The last entry of the log.
    pub(crate) last_index: LogIndex,
    /// The entries, consecutive up to `last`.
    pub(crate) entries: Vec<LogEntry>,
}
