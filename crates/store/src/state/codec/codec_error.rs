use thiserror::Error;

/// The reason for which bytes are no message or snapshot of the replicated state.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum CodecError {
    /// The bytes end within a value.
    #[error("the bytes end {0} bytes too soon")]
    Truncated(u64),
    /// Bytes follow the last value.
    #[error("{0} bytes follow the last value")]
    Trailing(usize),
    /// The format is of another version.
    #[error("format version {found} is not known (this release reads {known})")]
    Version {
        /// The version of the bytes.
        found: u8,
        /// The version that this release reads and writes.
        known: u8,
    },
    /// A number does not fit its type.
    #[error("a number does not fit into {0} bits")]
    Number(u32),
    /// A tag has no meaning.
    #[error("{what} has no variant {tag}")]
    Tag {
        /// The type that was read.
        what: &'static str,
        /// The tag.
        tag: u8,
    },
    /// A text is not UTF-8 or not of the form that its type has.
    #[error("text is not allowed: {0}")]
    Text(Box<str>),
}
