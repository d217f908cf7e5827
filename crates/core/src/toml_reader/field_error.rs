use std::fmt::Display;
use thiserror::Error;

/// An error in a document. The message contains the key, the value and the allowed values.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{message}")]
pub struct FieldError {
    message: Box<str>,
}

impl FieldError {
    /// Creates the error for a value that is not allowed; `key` is the full key from the root.
    pub fn new(key: &str, value: impl Display, allowed: impl Display) -> Self {
        Self { message: format!("key {key}: value {value} is not allowed: {allowed}").into() }
    }

    pub(super) fn missing(key: &str, allowed: &str) -> Self {
        Self { message: format!("key {key} is missing: {allowed} is required").into() }
    }

    pub(super) fn syntax(message: &str) -> Self {
        Self { message: message.into() }
    }

    pub(super) fn unknown(key: &str, known: &str) -> Self {
        Self { message: format!("key {key} is unknown (known here: {known})").into() }
    }
}
