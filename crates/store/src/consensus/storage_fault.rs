use thiserror::Error;

/// A failed call of the storage, with its cause. The outcome of the call is unknown.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("storage fault: {0}")]
pub struct StorageFault(pub Box<str>);
