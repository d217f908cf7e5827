use std::io;
use std::net::SocketAddr;
use thiserror::Error;

use masticstair_core::unit::Millis;

/// The reason why a relayed request has no complete response.
#[derive(Debug, Error)]
pub enum RelayError {
    /// The connection attempt failed; nothing was sent.
    #[error("cannot connect to {addr}: {source}")]
    Connect {
        /// The address of the endpoint.
        addr: SocketAddr,
        /// The operating system error, or the error of the HTTP handshake.
        source: io::Error,
    },
    /// The connection attempt timed out; nothing was sent.
    #[error("no connection to {0} within {1} ms")]
    ConnectTimeout(SocketAddr, Millis),
    /// The request is malformed; nothing was sent.
    #[error("the request is malformed: {0}")]
    Request(#[from] http::Error),
    /// The connection closed before the request was written; nothing was sent.
    #[error("the connection to {0} closed before the request was sent")]
    NotSent(SocketAddr),
    /// The connection failed or the response is invalid; the request may have been sent.
    #[error("the connection to {0} broke: {1}")]
    Broken(SocketAddr, Box<str>),
}

impl RelayError {
    /// Returns whether any part of the request may have been sent.
    pub fn may_have_sent(&self) -> bool {
        matches!(self, Self::Broken(..))
    }

    /// Returns whether no process listens at the address, as after the end of the endpoint.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Connect { source, .. } if source.kind() == io::ErrorKind::ConnectionRefused)
    }
}
