use std::net::SocketAddr;

use super::DecodeError;
use masticstair_core::unit::{ByteCount, Millis};
use thiserror::Error;

/// The reason for which a call to a peer has no answer.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum PeerError {
    /// Too many calls are in flight.
    #[error("{address} has {limit} calls in flight (at most {limit} are allowed)")]
    Busy {
        /// The peer.
        address: SocketAddr,
        /// The greatest number of calls in flight.
        limit: usize,
    },
    /// The message is too large to be sent.
    #[error("message has {size} bytes (at most {limit} are allowed)")]
    TooLarge {
        /// The size of the message.
        size: ByteCount,
        /// The largest size.
        limit: ByteCount,
    },
    /// There is no connection.
    #[error("no connection to {address}: {reason}")]
    Unreachable {
        /// The peer.
        address: SocketAddr,
        /// Why the last attempt to connect failed.
        reason: Box<str>,
    },
    /// The peer and this host do not talk to each other.
    #[error("{address} is refused: {reason}")]
    Refused {
        /// The peer.
        address: SocketAddr,
        /// What does not match.
        reason: Box<str>,
    },
    /// The connection ended before the answer.
    #[error("connection to {address} ended before the answer")]
    Lost {
        /// The peer.
        address: SocketAddr,
    },
    /// The answer did not come in time; the connection was closed.
    #[error("no answer from {address} within {timeout} ms")]
    Deadline {
        /// The peer.
        address: SocketAddr,
        /// The time that was allowed.
        timeout: Millis,
    },
    /// The peer answered with an error.
    #[error("{address} answered with an error: {reason}")]
    Remote {
        /// The peer.
        address: SocketAddr,
        /// The error.
        reason: Box<str>,
    },
    /// The answer cannot be read.
    #[error("answer of {address}: {source}")]
    Decode {
        /// The peer.
        address: SocketAddr,
        /// What is wrong with it.
        source: DecodeError,
    },
}

impl PeerError {
    /// Tells whether it is certain that the peer never got the message.
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
