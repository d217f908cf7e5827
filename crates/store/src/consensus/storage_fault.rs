use thiserror::Error;

/// A write or a sync that failed, with its cause; the node stops acknowledging after the first one.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("storage fault: {0}")]
pub struct StorageFault(pub Box<str>);
