use std::fmt::{self, Display};
use thiserror::Error;

/// One error in a document: the key, the value and what is allowed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{message}")]
pub struct FieldError {
    message: Box<str>,
}

/// All errors of a document, in the order of the document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FieldErrors(pub Vec<FieldError>);

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

impl Display for FieldErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, error) in self.0.iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            Display::fmt(error, f)?;
        }
        Ok(())
    }
}

impl std::error::Error for FieldErrors {}
