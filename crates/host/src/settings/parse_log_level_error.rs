use thiserror::Error;

/// The text is no level.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("debug, info, warning or error")]
pub struct ParseLogLevelError;
