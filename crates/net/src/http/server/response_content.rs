use bytes::Bytes;
use futures_util::stream::LocalBoxStream;
use std::fmt;

use super::{BodyAborted, BodyStream};

/// The body of a response.
pub enum ResponseContent {
    /// Sent with its length.
    Full(Bytes),
    /// Sent piece by piece.
    Stream(BodyStream),
    /// As `Stream`, made while it is sent: dropping the response ends the work that makes it.
    Events(LocalBoxStream<'static, Result<Bytes, BodyAborted>>),
}

impl fmt::Debug for ResponseContent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Full(bytes) => f.debug_tuple("Full").field(bytes).finish(),
            Self::Stream(_) => f.write_str("Stream"),
            Self::Events(_) => f.write_str("Events"),
        }
    }
}
