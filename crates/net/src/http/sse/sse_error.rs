use masticstair_core::prelude::*;
use thiserror::Error;

/// The reason why a byte stream cannot be parsed as events.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum SseError {
    /// The buffered data exceeds the limit of the parser.
    #[error("an event is larger than {0} bytes")]
    TooLarge(ByteCount),
    /// An event is not UTF-8.
    #[error("an event is not UTF-8")]
    Encoding,
}
