/// How a call ended, for the connection that carried it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallOutcome {
    /// The peer answered, with a result or an error.
    Answered,
    /// The connection cannot be trusted any more.
    ConnectionFailed,
    /// Nothing was sent.
    NotSent,
}
