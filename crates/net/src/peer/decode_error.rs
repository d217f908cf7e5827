use std::fmt::Display;

use thiserror::Error;

/// The reason why a message cannot be decoded.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum DecodeError {
    /// The bytes are not a valid message of the schema.
    #[error("message is malformed: {0}")]
    Malformed(Box<str>),
    /// A list exceeds its limit.
    #[error("{field} has {count} items (at most {limit} are allowed)")]
    TooMany {
        /// The name of the list.
        field: &'static str,
        /// The number of items in the message.
        count: u32,
        /// The maximum number of items.
        limit: u32,
    },
    /// A field has an invalid value.
    #[error("{field}: {reason}")]
    Value {
        /// The name of the field.
        field: &'static str,
        /// Why the value is invalid.
        reason: Box<str>,
    },
}

impl DecodeError {
    pub(crate) fn value(field: &'static str, reason: impl Display) -> Self {
        Self::Value { field, reason: reason.to_string().into() }
    }
}

impl From<capnp::Error> for DecodeError {
    fn from(e: capnp::Error) -> Self {
        Self::Malformed(e.to_string().into())
    }
}

impl From<DecodeError> for capnp::Error {
    fn from(e: DecodeError) -> Self {
        Self::failed(e.to_string())
    }
}
