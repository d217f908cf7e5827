use super::GroupId;

/// A message with the replicated log that it belongs to.
#[derive(Clone, Debug, PartialEq)]
pub struct InGroup<T> {
    /// The log.
    pub group: GroupId,
    /// The message.
    pub message: T,
}
