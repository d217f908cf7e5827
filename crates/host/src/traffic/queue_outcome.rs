/// What a waiting request is told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum QueueOutcome {
    /// It may start.
    Granted,
    /// It can no longer meet its deadline.
    Late,
}
