use std::net::SocketAddr;

use super::DecodeError;
use masticstair_core::unit::{ByteCount, Millis};
use thiserror::Error;

/// The reason why a call to a peer has no usable reply.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum PeerError {
    /// Too many calls are in flight; the call was not sent.
    #[error("{address} has {limit} calls in flight (at most {limit} are allowed)")]
    Busy {
        /// The address of the peer.
        address: SocketAddr,
        /// The maximum number of calls in flight.
        limit: usize,
    },
    /// The message exceeds the size limit and was not sent.
    #[error("message has {size} bytes (at most {limit} are allowed)")]
    TooLarge {
        /// The size of the message.
        size: ByteCount,
        /// The maximum size.
        limit: ByteCount,
    },
    /// There is no connection; the call was not sent.
    #[error("no connection to {address}: {reason}")]
    Unreachable {
        /// The address of the peer.
        address: SocketAddr,
        /// Why the last connection attempt failed.
        reason: Box<str>,
    },
    /// One side refused the hello of the other, or the reply of the peer to the hello is malformed; the call
    /// was not sent.
    #[error("{address} is refused: {reason}")]
    Refused {
        /// The address of the peer.
        address: SocketAddr,
        /// The mismatch between the identities, or the decoding error.
        reason: Box<str>,
    },
    /// The connection closed before the reply; the call may have been sent.
    #[error("connection to {address} ended before the answer")]
    Lost {
        /// The address of the peer.
        address: SocketAddr,
    },
    /// The reply did not arrive in time and the connection was closed; the call may have been sent.
    #[error("no answer from {address} within {timeout} ms")]
    Deadline {
        /// The address of the peer.
        address: SocketAddr,
        /// The timeout of the call.
        timeout: Millis,
    },
    /// The peer replied with an error.
    #[error("{address} answered with an error: {reason}")]
    Remote {
        /// The address of the peer.
        address: SocketAddr,
        /// The error text of the peer.
        reason: Box<str>,
    },
    /// The reply cannot be decoded.
    #[error("answer of {address}: {source}")]
    Decode {
        /// The address of the peer.
        address: SocketAddr,
        /// Why the reply cannot be decoded.
        source: DecodeError,
    },
}

impl PeerError {
    /// Returns whether it is certain that the peer did not receive the message.
    pub fn never_sent(&self) -> bool {
        matches!(
            self,
            Self::Busy { .. }
                | Self::TooLarge { .. }
                | Self::Unreachable { .. }
                | Self::Refused { .. }
        )
    }
}
