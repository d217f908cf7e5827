use thiserror::Error;

/// The text names no log level. The message lists the allowed names; an error of a settings file
/// prints them after the refused value.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("debug, info, warning or error")]
pub struct ParseLogLevelError;
