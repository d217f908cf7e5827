use bytes::Bytes;
use futures_util::stream::LocalBoxStream;
use std::fmt;

use super::{BodyAborted, BodyStream};

/// The body of a response.
pub enum ResponseContent {
    /// A complete body, sent with `Content-Length`.
    Full(Bytes),
    /// The same, if its memory is counted by its owner, as that of an answer of an endpoint is.
    Counted(Bytes),
    /// A body that a task produces through a `BodySender`; sent in chunks. `Response::events` uses this.
    Stream(BodyStream),
    /// A body without a task of its own, produced while the connection polls it and sent in chunks. Dropping
    /// the response cancels the work.
    Events(LocalBoxStream<'static, Result<Bytes, BodyAborted>>),
}

impl ResponseContent {
    /// Returns the size of a complete body.
    pub(super) fn size(&self) -> Option<usize> {
        match self {
            Self::Full(bytes) | Self::Counted(bytes) => Some(bytes.len()),
            Self::Events(_) | Self::Stream(_) => None,
        }
    }
}

impl fmt::Debug for ResponseContent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Full(bytes) => f.debug_tuple("Full").field(bytes).finish(),
            Self::Counted(bytes) => f.debug_tuple("Counted").field(bytes).finish(),
            Self::Stream(_) => f.write_str("Stream"),
            Self::Events(_) => f.write_str("Events"),
        }
    }
}
