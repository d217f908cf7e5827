use super::StorageError;
use futures_channel::oneshot;
use masticstair_core::message::{HardState, LogEntry, SnapshotMeta};

/// Where the outcome of a call goes. The caller may have gone away.
pub(crate) type ReplySender = oneshot::Sender<Result<(), StorageError>>;

/// A call to the storage thread.
pub(crate) enum Request {
    /// Add entries to the log.
    Append(Vec<LogEntry>, ReplySender),
    /// End the thread.
    Close(ReplySender),
    /// Save the term and vote.
    HardState(HardState, ReplySender),
    /// Save a snapshot.
    Snapshot(Box<SnapshotMeta>, Box<[u8]>, ReplySender),
}
