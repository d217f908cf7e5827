use masticstair_core::id::LogIndex;
use masticstair_core::message::LogEntry;

/// Entries taken from the log to be written to storage.
#[derive(Debug)]
pub(crate) struct UnwrittenEntries {
    /// The epoch of the log when they were taken.
    pub(crate) epoch: u64,
    /// The last index of the log when they were taken.
    pub(crate) last_index: LogIndex,
    /// The entries, consecutive up to `last_index`.
    pub(crate) entries: Vec<LogEntry>,
}
