/// The outcome that is sent to the task of a queued request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum QueueOutcome {
    /// The request may start.
    Granted,
    /// The request can no longer complete before its deadline.
    Late,
}
