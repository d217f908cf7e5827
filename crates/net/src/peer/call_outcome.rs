/// The outcome of a call, as far as it concerns the state of the connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallOutcome {
    /// The peer replied, with a result or an error.
    Answered,
    /// The call hit its deadline or the connection broke; the connection must be closed.
    ConnectionFailed,
    /// Nothing was sent.
    NotSent,
}
