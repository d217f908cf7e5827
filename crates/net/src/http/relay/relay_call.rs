use bytes::Bytes;
use http::{HeaderMap, Method};
use std::net::SocketAddr;
use std::time::Duration;

/// A request to an endpoint.
#[derive(Clone, Debug)]
pub struct RelayCall {
    /// The address of the endpoint.
    pub addr: SocketAddr,
    /// The method.
    pub method: Method,
    /// The path with the query.
    pub target: Box<str>,
    /// All headers, `Host` included; the length of the body is added.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// How long a new connection may take.
    pub connect_timeout: Duration,
    /// The longest time since its last answer after which a connection is used again. A connection can be
    /// dead without an error, and then leaves the outcome of the call unknown.
    pub max_idle: Duration,
}
