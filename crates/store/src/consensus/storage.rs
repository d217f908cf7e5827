use futures_util::future::LocalBoxFuture;
use masticstair_core::message::{HardState, LogEntry, SnapshotMeta};

use super::StorageFault;

/// The future of a `Storage` call; it completes after the sync.
pub type StorageCall = LocalBoxFuture<'static, Result<(), StorageFault>>;

/// Durable storage of a replica. The node has at most one call in progress.
pub struct Storage {
    /// Appends consecutive entries, after truncating the log from the first index.
    pub append: Box<dyn Fn(Vec<LogEntry>) -> StorageCall>,
    /// Replaces the stored term and vote.
    pub save_hard_state: Box<dyn Fn(HardState) -> StorageCall>,
    /// Replaces the snapshot and drops the entries that it contains. Later entries may be dropped too
    /// when the entry at its index has another term.
    pub save_snapshot: Box<dyn Fn(SnapshotMeta, Box<[u8]>) -> StorageCall>,
}
