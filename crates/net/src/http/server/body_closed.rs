use thiserror::Error;

/// The caller closed the connection before the body ended.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("the caller closed the connection before the body ended")]
pub struct BodyClosed;
