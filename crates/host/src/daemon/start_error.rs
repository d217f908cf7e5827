use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// The reason why the workers or the gateway did not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The address cannot be bound.
    #[error("cannot listen on {addr}: {source}")]
    Bind {
        /// The value of `listen`, or the address bound by the first worker.
        addr: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// A thread cannot be started or ended during startup.
    #[error("cannot start a thread: {0}")]
    Thread(#[from] io::Error),
}
