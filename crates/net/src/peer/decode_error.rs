use std::fmt::Display;

use thiserror::Error;

/// The reason for which a message cannot be read.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum DecodeError {
    /// The bytes are not a message of the schema.
    #[error("message is malformed: {0}")]
    Malformed(Box<str>),
    /// A list is too long.
    #[error("{field} has {count} items (at most {limit} are allowed)")]
    TooMany {
        /// The list.
        field: &'static str,
        /// Its length.
        count: u32,
        /// The greatest length.
        limit: u32,
    },
    /// A field has a value that is not allowed.
    #[error("{field}: {reason}")]
    Value {
        /// The field.
        field: &'static str,
        /// What is wrong with it.
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
