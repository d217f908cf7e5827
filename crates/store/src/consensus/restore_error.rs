use thiserror::Error;

/// The reason for which the replicated state refuses a snapshot.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("snapshot cannot be restored: {0}")]
pub struct RestoreError(pub Box<str>);
