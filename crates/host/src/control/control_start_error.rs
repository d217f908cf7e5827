use masticstair_store::replica::ReplicaError;
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
    /// The replica cannot be started from the data folder.
    #[error(transparent)]
    Replica(#[from] ReplicaError),
    /// The thread or its async runtime cannot be started.
    #[error("cannot start the control thread: {0}")]
    Thread(#[from] io::Error),
}
