use super::StorageError;
use futures_channel::oneshot;
use masticstair_core::message::{HardState, LogEntry, SnapshotMeta};

/// Sends the result of a call; the receiver may have been dropped.
pub(crate) type ReplySender = oneshot::Sender<Result<(), StorageError>>;

/// A call to the storage thread.
pub(crate) enum Request {
    Append(Vec<LogEntry>, ReplySender),
    /// Stops the thread.
    Close(ReplySender),
    /// Saves the term and vote.
    HardState(HardState, ReplySender),
    Snapshot(Box<SnapshotMeta>, Box<[u8]>, ReplySender),
}
