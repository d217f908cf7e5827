use futures_util::future::LocalBoxFuture;
use masticstair_core::message::{HardState, LogEntry, SnapshotMeta};

use super::StorageFault;

/// A call of `Storage`; it completes after the sync.
pub type StorageCall = LocalBoxFuture<'static, Result<(), StorageFault>>;

/// Durable storage of a replica. The node has at most one call in progress.
pub struct Storage {
    /// Appends consecutive entries and cuts any tail from the first index.
    pub append: Box<dyn Fn(Vec<LogEntry>) -> StorageCall>,
    /// Replaces the term and the vote.
    pub save_hard_state: Box<dyn Fn(HardState) -> StorageCall>,
    /// Replaces the snapshot and drops the entries that it contains. Entries after it may be dropped
    /// too when the entry at its index has another term.
    pub save_snapshot: Box<dyn Fn(SnapshotMeta, Box<[u8]>) -> StorageCall>,
}
