use thiserror::Error;

use crate::consensus::StartError;
use crate::storage::StorageError;

/// The reason why the replica could not be started from the data folder.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ReplicaError {
    /// The data folder cannot be opened.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// The node cannot start from the content of the data folder.
    #[error(transparent)]
    Node(#[from] StartError),
}

impl ReplicaError {
    /// Returns whether the cause may pass without a change of the settings.
    pub(crate) fn may_pass(&self) -> bool {
        matches!(self, Self::Storage(e) if e.may_pass())
    }
}
