use super::StorageError;
use futures_channel::oneshot;
use masticstair_core::message::{HardState, LogEntry, SnapshotMeta};

/// Where the outcome of a call goes. The caller may have gone away.
pub(crate) type Reply = oneshot::Sender<Result<(), StorageError>>;

/// A call to the storage thread.
pub(crate) enum Request {
    /// Add entries to the log.
    Append(Vec<LogEntry>, Reply),
    /// End the thread.
    Close(Reply),
    /// Save the term and vote.
    HardState(HardState, Reply),
    /// Save a snapshot.
    Snapshot(Box<SnapshotMeta>, Box<[u8]>, Reply),
}
