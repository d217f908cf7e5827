use masticstair_store::consensus::StartError;
use masticstair_store::storage::StorageError;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// The reason why the control thread did not start.
#[derive(Debug, Error)]
pub enum ControlStartError {
    /// The peer address cannot be bound.
    #[error("cannot listen for peers on {addr}: {source}")]
    Bind {
        /// The value of `peer_listen`.
        addr: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The data folder cannot be opened or repaired.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// The replica cannot be restored from the content of the data folder.
    #[error(transparent)]
    Node(#[from] StartError),
    /// The thread or its async runtime cannot be started.
    #[error("cannot start the control thread: {0}")]
    Thread(#[from] io::Error),
}
