use thiserror::Error;

/// The reason why a proposal or a read got no reply from the replicated log.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ControlError {
    /// The command is not in the log and never will be, so it is safe to retry.
    #[error("not proposed: {0}")]
    NotProposed(Box<str>),
    /// The command may have been committed or may still be.
    #[error("outcome unknown: {0}")]
    Unknown(Box<str>),
}
