use super::{ReplySender, Request, StorageError};
use futures_channel::oneshot;
use masticstair_core::message::{HardState, LogEntry, SnapshotMeta};
use std::sync::mpsc::Sender;

/// A handle to the storage thread; usable from any thread and any async runtime.
///
/// Calls take effect in the order in which their futures are first polled, even if a future is dropped
/// afterwards. When all handles are dropped, the thread stops and releases the folder.
#[derive(Clone, Debug)]
pub struct StorageHandle {
    pub(crate) tx: Sender<Request>,
}

impl StorageHandle {
    /// Appends consecutive entries to the log, replacing existing entries from the first index on. Completes
    /// after the sync.
    ///
    /// # Errors
    ///
    /// `Gap`, `InSnapshot` and `TooLarge` reject the call and change nothing. After `Io` the outcome is
    /// unknown and every later write returns `Failed`.
    pub async fn append(&self, entries: Vec<LogEntry>) -> Result<(), StorageError> {
        self.call(|reply| Request::Append(entries, reply)).await
    }

    /// Saves the term and vote. Completes after the sync.
    ///
    /// # Errors
    ///
    /// `HardStateConflict` if the term would decrease or the vote would change within its term; `Io` and
    /// `Failed` as for `append`.
    pub async fn save_hard_state(&self, state: HardState) -> Result<(), StorageError> {
        self.call(|reply| Request::HardState(state, reply)).await
    }

    /// Saves a snapshot and compacts the log. Entries after the snapshot are kept if the log contains the
    /// snapshot's last entry with the same term; otherwise the log is cleared and continues after the
    /// snapshot. Completes after the sync; other calls can complete in the meantime.
    ///
    /// # Errors
    ///
    /// `SnapshotSize` and `StaleSnapshot` reject the call and change nothing; `Io` and `Failed` as for
    /// `append`.
    pub async fn save_snapshot(
        &self,
        meta: SnapshotMeta,
        data: Box<[u8]>,
    ) -> Result<(), StorageError> {
        self.call(|reply| Request::Snapshot(Box::new(meta), data, reply)).await
    }

    /// Completes the pending appends and hard states, stops the storage thread and releases the folder. An
    /// incomplete snapshot is discarded.
    ///
    /// # Errors
    ///
    /// `Closed` if the thread has already stopped.
    pub async fn close(&self) -> Result<(), StorageError> {
        self.call(Request::Close).await
    }

    async fn call(&self, request: impl FnOnce(ReplySender) -> Request) -> Result<(), StorageError> {
        let (reply, outcome) = oneshot::channel();
        self.tx.send(request(reply)).map_err(|_| StorageError::Closed)?;
        outcome.await.unwrap_or(Err(StorageError::Closed))
    }
}
