use super::{ReplySender, Request, StorageError};
use futures_channel::oneshot;
use masticstair_core::message::{HardState, LogEntry, SnapshotMeta};
use std::sync::mpsc::Sender;

/// Calls to the storage thread, from any thread and any runtime.
///
/// A call takes effect in the order in which its future is first polled, even when the future is dropped
/// afterwards. When all handles are dropped, the thread ends and releases the folder.
#[derive(Clone, Debug)]
pub struct StorageHandle {
    pub(crate) tx: Sender<Request>,
}

impl StorageHandle {
    /// Adds consecutive entries to the log, which replace its entries from the first index on. Completes
    /// after the sync.
    ///
    /// # Errors
    ///
    /// `Gap`, `InSnapshot` and `TooLarge` refuse the call and change nothing. After `Io` the outcome is unknown
    /// and every later call returns `Failed`.
    pub async fn append(&self, entries: Vec<LogEntry>) -> Result<(), StorageError> {
        self.call(|reply| Request::Append(entries, reply)).await
    }

    /// Saves the term and vote. Completes after the sync.
    ///
    /// # Errors
    ///
    /// `HardStateConflict` when the term would fall or a vote would change within its term; `Io` and `Failed`
    /// as for `append`.
    pub async fn save_hard_state(&self, state: HardState) -> Result<(), StorageError> {
        self.call(|reply| Request::HardState(state, reply)).await
    }

    /// Saves a snapshot and deletes what it replaces. Entries after it stay if the log has the snapshot's
    /// last entry with the same term; otherwise the log is emptied and continues after the snapshot.
    /// Completes after the sync; other calls can complete in the meantime.
    ///
    /// # Errors
    ///
    /// `SnapshotSize` and `StaleSnapshot` refuse the call and change nothing; `Io` and `Failed` as for
    /// `append`.
    pub async fn save_snapshot(
        &self,
        meta: SnapshotMeta,
        data: Box<[u8]>,
    ) -> Result<(), StorageError> {
        self.call(|reply| Request::Snapshot(Box::new(meta), data, reply)).await
    }

    /// Ends the storage thread after the calls made so far, and releases the folder. A snapshot that is not
    /// complete is dropped.
    ///
    /// # Errors
    ///
    /// `Closed` when the thread had already ended.
    pub async fn close(&self) -> Result<(), StorageError> {
        self.call(Request::Close).await
    }

    async fn call(&self, request: impl FnOnce(ReplySender) -> Request) -> Result<(), StorageError> {
        let (reply, outcome) = oneshot::channel();
        self.tx.send(request(reply)).map_err(|_| StorageError::Closed)?;
        outcome.await.unwrap_or(Err(StorageError::Closed))
    }
}
