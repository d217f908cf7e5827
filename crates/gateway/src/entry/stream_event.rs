use bytes::Bytes;

/// One event of a stream, including the blank line that ends it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct StreamEvent {
    /// The bytes as the endpoint sent them.
    pub(super) bytes: Bytes,
    /// The number in the event's `id` field.
    pub(super) id: Option<u64>,
    /// Whether it has a line other than comments; an event without one is no progress of the stream.
    pub(super) has_fields: bool,
}
