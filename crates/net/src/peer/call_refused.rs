use thiserror::Error;

/// A handler does not answer a call; the caller gets the text.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{0}")]
pub struct CallRefused(pub Box<str>);

impl CallRefused {
    /// Refuses a call for a reason.
    pub fn new(reason: impl Into<Box<str>>) -> Self {
        Self(reason.into())
    }
}

impl From<CallRefused> for capnp::Error {
    fn from(e: CallRefused) -> Self {
        Self::failed(e.0.into())
    }
}
