use http::{HeaderMap, StatusCode};

/// The status and headers of an endpoint's response.
#[derive(Clone, Debug)]
pub struct RelayHead {
    /// The status code.
    pub status: StatusCode,
    /// All headers as the endpoint sent them.
    pub headers: HeaderMap,
    /// Whether a new connection was opened for the call; `false` if a pooled one was reused.
    pub new_connection: bool,
}
