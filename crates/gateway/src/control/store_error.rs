use thiserror::Error;

/// Why the replicated log gave no definite answer.
#[derive(Clone, Debug, Error)]
pub enum StoreError {
    /// The command had no effect and will have none.
    #[error("the command was not stored: {0}")]
    NotStored(Box<str>),
    /// The command may still take effect, or the result of a read is not certain.
    #[error("the replicated log gave no certain answer: {0}")]
    Unknown(Box<str>),
}
