use thiserror::Error;

/// The client closed the connection before the body was complete.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("the caller closed the connection before the body ended")]
pub struct BodyClosed;
