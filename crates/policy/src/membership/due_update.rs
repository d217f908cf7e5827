use super::UpdateKey;

/// A change to include in a message to a host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DueUpdate {
    /// The record that changed.
    pub key: UpdateKey,
    /// Whether a request carries the record itself, and not only its fingerprint.
    pub eager: bool,
    /// Whether an answer carries the record itself, and not only its fingerprint.
    pub fresh: bool,
    /// Whether an answer carries the change at all. In the second half of the dissemination window it does not:
    /// a caller that received the change earlier may have stopped naming it, and would get it again.
    pub answerable: bool,
}
