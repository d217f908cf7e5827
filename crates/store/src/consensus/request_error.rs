use masticstair_core::id::LogIndex;
use masticstair_core::unit::ByteCount;
use thiserror::Error;

use super::{ReplicaFault, RestoreError};

/// Why a message of another replica was not answered.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum RequestError {
    /// The node acknowledges nothing after its first fault.
    #[error(transparent)]
    Fault(#[from] ReplicaFault),
    /// The state machine could not restore the received snapshot.
    #[error(transparent)]
    Restore(#[from] RestoreError),
    /// The node was stopped.
    #[error("the node was stopped")]
    Stopped,
    /// The entries of an append are not consecutive. Carries the index before them.
    #[error("the entries after index {0} are not consecutive")]
    Malformed(LogIndex),
    /// A snapshot chunk or the whole snapshot is too large.
    #[error("snapshot data of {size} bytes is too large (at most {limit} are allowed)")]
    TooLarge {
        /// The size of the chunk or the snapshot.
        size: ByteCount,
        /// The maximum size of it.
        limit: ByteCount,
    },
}
