use slog::Logger;
use std::sync::Arc;

use crate::consensus::{Node, RecoveredState, StartError, Storage};
use crate::storage::{Recovered, StorageError, StorageHandle};
use masticstair_core::id::ReplicaId;

/// Opens the data folder. It may block for as long as the disk does, and is called on a thread of its own
/// after the first time.
pub type OpenFn = Arc<dyn Fn() -> Result<(StorageHandle, Recovered), StorageError> + Send + Sync>;

/// Starts a node with the identity, the state and the storage of the opened folder.
pub type StartFn = Box<dyn Fn(ReplicaId, RecoveredState, Storage) -> Result<Node, StartError>>;

/// Receives each node that was started, and `None` when its storage has failed.
pub type ChangedFn = Box<dyn Fn(Option<&Node>)>;

/// The dependencies of a `LocalReplica`.
pub struct ReplicaParts {
    /// Opens the data folder.
    pub open: OpenFn,
    /// Starts the node.
    pub start: StartFn,
    /// Called after each start of a node and after each storage fault.
    pub changed: ChangedFn,
    /// The logger for storage faults and restarts.
    pub log: Logger,
}
