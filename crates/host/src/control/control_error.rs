use thiserror::Error;

/// The reason for which the replicated log gave no reply.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ControlError {
    /// It is certain that the command is not in the log and never will be.
    #[error("not proposed: {0}")]
    NotProposed(Box<str>),
    /// The command may be committed now or later.
    #[error("outcome unknown: {0}")]
    Unknown(Box<str>),
}
