use std::io;
use std::net::SocketAddr;
use thiserror::Error;

use masticstair_core::unit::Millis;

/// The reason for which an endpoint gave no complete answer.
#[derive(Debug, Error)]
pub enum RelayError {
    /// No connection was made; nothing was sent.
    #[error("cannot connect to {addr}: {source}")]
    Connect {
        /// The address of the endpoint.
        addr: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// No connection was made in time; nothing was sent.
    #[error("no connection to {0} within {1} ms")]
    ConnectTimeout(SocketAddr, Millis),
    /// The request is malformed; nothing was sent.
    #[error("the request is malformed: {0}")]
    Request(#[from] http::Error),
    /// The connection closed before the request was written; nothing was sent.
    #[error("the connection to {0} closed before the request was sent")]
    NotSent(SocketAddr),
    /// The connection broke; the request may have been sent.
    #[error("the connection to {0} broke: {1}")]
    Broken(SocketAddr, Box<str>),
}

impl RelayError {
    /// Tells whether a byte of the request may have left this host.
    pub fn may_have_sent(&self) -> bool {
        matches!(self, Self::Broken(..))
    }
}
