/// How an endpoint responds to a new connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbeOutcome {
    /// It accepts the connection.
    Accepted,
    /// It refuses the connection, as one whose process has ended does.
    Refused,
    /// It does not respond in time, or the connection fails in another way.
    Silent,
}
