use bytes::Bytes;
use futures_util::stream::LocalBoxStream;
use std::fmt;

use super::{BodyAborted, BodyStream};

/// The body of a response.
pub enum ResponseContent {
    /// A complete body, sent with `Content-Length`.
    Full(Bytes),
    /// A body that a task produces through a `BodySender`; sent in chunks.
    Stream(BodyStream),
    /// A body that is produced while the connection polls it; dropping the response cancels the work.
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
