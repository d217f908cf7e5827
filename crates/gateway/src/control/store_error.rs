use thiserror::Error;

/// The reason for which the replicated log gave no answer.
#[derive(Clone, Debug, Error)]
pub enum StoreError {
    /// The command certainly had no effect.
    #[error("the catalog was not stored: {0}")]
    NotStored(Box<str>),
    /// The command may take effect now or later, or the answer to a read is not certain.
    #[error("the replicated log gave no certain answer: {0}")]
    Unknown(Box<str>),
}
