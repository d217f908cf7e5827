use bytes::Bytes;

/// One event of a stream with the blank line behind it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct StreamEvent {
    /// The bytes as the endpoint sent them.
    pub(super) bytes: Bytes,
    /// Its number, when it has one.
    pub(super) id: Option<u64>,
}
