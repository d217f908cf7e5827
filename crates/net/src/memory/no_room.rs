use thiserror::Error;

/// There was no room for something, also after a wait.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("no memory is left for this request")]
pub(crate) struct NoRoom;
