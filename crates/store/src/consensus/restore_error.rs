use thiserror::Error;

/// The state machine could not restore a snapshot. Carries the cause.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("snapshot cannot be restored: {0}")]
pub struct RestoreError(pub Box<str>);
