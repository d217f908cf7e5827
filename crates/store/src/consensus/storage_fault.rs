use thiserror::Error;

/// A fault after which the node stops acknowledging, with its cause: a failed write or sync, a snapshot that
/// could not be restored, or a committed entry that differs from the leader's.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("storage fault: {0}")]
pub struct StorageFault(pub Box<str>);
