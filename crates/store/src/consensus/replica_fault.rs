use masticstair_core::id::LogIndex;
use thiserror::Error;

use super::{RestoreError, StorageFault};

/// A fault after which a node acknowledges nothing more.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ReplicaFault {
    /// A write or sync failed. A new node can start from what the storage recovers.
    #[error(transparent)]
    Storage(#[from] StorageFault),
    /// A snapshot of the leader could not be restored, so the replicated state is incomplete.
    #[error(transparent)]
    Restore(#[from] RestoreError),
    /// A committed entry contradicts the log of the leader. The stored log is wrong, so a new node would meet
    /// the same contradiction.
    #[error("committed entry {0} differs from the leader's")]
    Diverged(LogIndex),
}
