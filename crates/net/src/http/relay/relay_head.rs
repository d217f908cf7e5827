use http::{HeaderMap, StatusCode};
use masticstair_core::id::ConnectionNumber;

/// The status and headers of an endpoint's response.
#[derive(Clone, Debug)]
pub struct RelayHead {
    /// The status code.
    pub status: StatusCode,
    /// All headers as the endpoint sent them.
    pub headers: HeaderMap,
    /// The connection that the response came on.
    pub connection: ConnectionNumber,
    /// Whether a new connection was opened for the call; `false` if a pooled one was reused.
    pub new_connection: bool,
}
