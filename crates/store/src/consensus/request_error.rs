use masticstair_core::id::LogIndex;
use masticstair_core::unit::ByteCount;
use thiserror::Error;

use super::{RestoreError, StorageFault};

/// The reason for which a message of another replica gets no answer.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum RequestError {
    /// Storage failed; nothing is acknowledged any more.
    #[error(transparent)]
    Storage(#[from] StorageFault),
    /// The replicated state refuses a snapshot.
    #[error(transparent)]
    Restore(#[from] RestoreError),
    /// The node was stopped.
    #[error("the node was stopped")]
    Stopped,
    /// The entries of an append are not consecutive.
    #[error("the entries after index {0} are not consecutive")]
    Malformed(LogIndex),
    /// A piece or a snapshot is too large.
    #[error("snapshot data of {size} bytes is too large (at most {limit} are allowed)")]
    TooLarge {
        /// The size.
        size: ByteCount,
        /// The bound.
        limit: ByteCount,
    },
}
