use super::UpdateKey;

/// A change for a message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DueUpdate {
    /// The record.
    pub key: UpdateKey,
    /// Whether a request carries the record itself, and not only its mark.
    pub eager: bool,
    /// Whether an answer carries the record itself, and not only its mark.
    pub fresh: bool,
    /// Whether an answer carries the change at all. A caller that heard of it earlier may have stopped to
    /// name it in the second half of the time.
    pub answerable: bool,
}
