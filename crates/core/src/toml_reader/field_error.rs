use std::fmt::Display;
use thiserror::Error;

/// One error in a document: the key, the value and what is allowed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{message}")]
pub struct FieldError {
    message: Box<str>,
}

impl FieldError {
    /// Reports a value that is not allowed.
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
