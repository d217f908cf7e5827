use masticstair_core::prelude::*;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// The reason why a call has no usable response.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The connection attempt failed; nothing was sent.
    #[error("cannot connect to {addr}: {source}")]
    Connect {
        /// The address of the endpoint.
        addr: SocketAddr,
        /// The operating system error.
        source: io::Error,
    },
    /// The connection attempt timed out; nothing was sent.
    #[error("no connection to {0} within {1} ms")]
    ConnectTimeout(SocketAddr, Millis),
    /// The request could not be built; nothing was sent.
    #[error("the request is malformed: {0}")]
    Request(#[from] http::Error),
    /// The connection failed, or the response is invalid or has a chunk over the limit; the request may have
    /// been sent.
    #[error("the connection to {0} broke: {1}")]
    Broken(SocketAddr, Box<str>),
    /// The response timed out; the request may have been sent.
    #[error("no response from {0} within {1} ms")]
    Timeout(SocketAddr, Millis),
    /// The chunks of the response body together exceed the limit; the request was sent.
    #[error("the body of the response has more than {0} bytes")]
    TooLarge(ByteCount),
}

impl ClientError {
    /// Returns whether any part of the request may have been sent.
    pub fn may_have_sent(&self) -> bool {
        !matches!(self, Self::Connect { .. } | Self::ConnectTimeout(..) | Self::Request(_))
    }
}
