/// Outcome of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Rejected by admission.
    Refused,
    /// Dropped as late when it left the queue.
    Late,
    /// Stopped before a stage because it could no longer meet its deadline.
    Stopped,
    /// Failed, or not answered by its deadline.
    Missed,
    /// Answered within its deadline, at this time in microseconds.
    Answered(u64),
}
