use thiserror::Error;

/// The reason why bytes cannot be decoded as a message or snapshot of the replicated state.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum CodecError {
    /// The bytes end within a value; the number of missing bytes.
    #[error("the bytes end {0} bytes too soon")]
    Truncated(u64),
    /// Bytes follow the last value; their number.
    #[error("{0} bytes follow the last value")]
    Trailing(usize),
    /// The format version is not supported.
    #[error("format version {found} is not known (this release reads {known})")]
    Version {
        /// The format version of the message.
        found: u8,
        /// The format version that this release reads and writes.
        known: u8,
    },
    /// A number is too large for its type; the width of the type in bits.
    #[error("a number does not fit into {0} bits")]
    Number(u32),
    /// A tag does not identify a variant.
    #[error("{what} has no variant {tag}")]
    Tag {
        /// Name of the decoded type.
        what: &'static str,
        /// The unknown tag.
        tag: u8,
    },
    /// A text is not valid UTF-8, or its type rejects it; the message of that error.
    #[error("text is not allowed: {0}")]
    Text(Box<str>),
}
