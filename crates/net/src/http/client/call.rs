use bytes::Bytes;
use http::{HeaderMap, Method};
use masticstair_core::prelude::*;
use std::net::SocketAddr;

/// An HTTP request to an endpoint.
#[derive(Clone, Debug)]
pub struct Call {
    /// The address of the endpoint.
    pub addr: SocketAddr,
    /// The request method.
    pub method: Method,
    /// The path and query; percent-encoded.
    pub path: Box<str>,
    /// Headers other than `Host` and, for a body that is not empty, `Content-Length`; the client sets these.
    pub headers: HeaderMap,
    /// The complete body; may be empty.
    pub body: Bytes,
    /// Timeout for connecting, sending and receiving the response head together; with
    /// `ConnectionPool::fetch` also for the response body.
    pub timeout: Millis,
    /// Whether the call may use a pooled connection. If the endpoint has just closed that connection, the
    /// outcome of the call is unknown, so calls that must not be repeated need a new connection.
    pub reuse: bool,
}
