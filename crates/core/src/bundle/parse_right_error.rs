use thiserror::Error;

/// The text is not a right.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("submit, sign-off or roll")]
pub struct ParseRightError;
