use masticstair_store::consensus::StartError;
use masticstair_store::storage::StorageError;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// The reason for which the control thread did not start.
#[derive(Debug, Error)]
pub enum ControlStartError {
    /// The peer address cannot be bound.
    #[error("cannot listen for peers on {addr}: {source}")]
    Bind {
        /// The address.
        addr: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The data folder cannot be used.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// The replica cannot be restored.
    #[error(transparent)]
    Node(#[from] StartError),
    /// A thread or runtime cannot be started.
    #[error("cannot start the control thread: {0}")]
    Thread(#[from] io::Error),
}
