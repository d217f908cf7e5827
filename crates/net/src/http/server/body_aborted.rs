use thiserror::Error;

/// The sender cannot complete the body; the connection is closed without the end of the body.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("the body cannot be completed")]
pub struct BodyAborted;
