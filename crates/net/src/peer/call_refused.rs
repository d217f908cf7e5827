use thiserror::Error;

/// A handler refuses a call; the text is sent to the caller.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{0}")]
pub struct CallRefused(pub Box<str>);

impl CallRefused {
    /// Creates a refusal with the text that the caller receives.
    pub fn new(reason: impl Into<Box<str>>) -> Self {
        Self(reason.into())
    }
}

impl From<CallRefused> for capnp::Error {
    fn from(e: CallRefused) -> Self {
        Self::failed(e.0.into())
    }
}
