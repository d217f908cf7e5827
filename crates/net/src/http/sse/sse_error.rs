use masticstair_core::prelude::*;
use thiserror::Error;

/// The stream is no stream of events.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum SseError {
    /// An event is larger than the limit.
    #[error("an event is larger than {0} bytes")]
    TooLarge(ByteCount),
    /// An event is not UTF-8.
    #[error("an event is not UTF-8")]
    Encoding,
}
