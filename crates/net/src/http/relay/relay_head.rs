use http::{HeaderMap, StatusCode};

/// The head of an endpoint's answer.
#[derive(Clone, Debug)]
pub struct RelayHead {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// Whether the call opened a connection.
    pub new_connection: bool,
}
