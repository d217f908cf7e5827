/// What became of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It was refused on arrival.
    Refused,
    /// It was dropped when it left the queue.
    Late,
    /// It was stopped before a stage that it could no longer complete in time.
    Stopped,
    /// It ran until its deadline, waits, or failed.
    Missed,
    /// It was answered in time.
    Answered(u64),
}
