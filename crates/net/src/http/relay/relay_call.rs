use bytes::Bytes;
use http::{HeaderMap, Method};
use std::net::SocketAddr;
use std::time::Duration;

/// A request to relay to an endpoint.
#[derive(Clone, Debug)]
pub struct RelayCall {
    /// The address of the endpoint.
    pub addr: SocketAddr,
    /// The request method.
    pub method: Method,
    /// The path and query, as received.
    pub target: Box<str>,
    /// All headers, including `Host`; only a missing `Content-Length` is added, if the body is not empty.
    pub headers: HeaderMap,
    /// The complete body; may be empty.
    pub body: Bytes,
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Maximum time since the last response on a pooled connection for reusing it. A connection can be dead
    /// without an error, which leaves the outcome of the call unknown.
    pub max_idle: Duration,
}
