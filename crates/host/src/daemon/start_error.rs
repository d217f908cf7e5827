use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// The reason for which a host did not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The address cannot be bound.
    #[error("cannot listen on {addr}: {source}")]
    Bind {
        /// The address.
        addr: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A thread cannot be started.
    #[error("cannot start a thread: {0}")]
    Thread(#[from] io::Error),
}
