use thiserror::Error;

/// The text does not name a right; the message lists the valid names.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("submit, sign-off or roll")]
pub struct ParseRightError;
