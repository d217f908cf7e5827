use super::GroupId;

/// A message with the replicated log that it belongs to.
#[derive(Clone, Debug, PartialEq)]
pub struct InGroup<T> {
    /// The replicated log.
    pub group: GroupId,
    /// The message itself.
    pub message: T,
}
