use masticstair_core::prelude::*;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// The reason for which a call got no usable response.
#[derive(Debug, Error)]
pub enum ClientError {
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
    /// The request could not be built; nothing was sent.
    #[error("the request is malformed: {0}")]
    Request(#[from] http::Error),
    /// The connection broke; the request may have been sent.
    #[error("the connection to {0} broke: {1}")]
    Broken(SocketAddr, Box<str>),
    /// The response did not come in time; the request may have been sent.
    #[error("no response from {0} within {1} ms")]
    Timeout(SocketAddr, Millis),
    /// The body of the response is larger than the limit.
    #[error("the body of the response has more than {0} bytes")]
    TooLarge(ByteCount),
}

impl ClientError {
    /// Tells whether a byte of the request may have left this host.
    pub fn may_have_sent(&self) -> bool {
        !matches!(self, Self::Connect { .. } | Self::ConnectTimeout(..) | Self::Request(_))
    }
}
