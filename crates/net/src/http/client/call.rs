use bytes::Bytes;
use http::{HeaderMap, Method};
use masticstair_core::prelude::*;
use std::net::SocketAddr;

/// A call to an endpoint.
#[derive(Clone, Debug)]
pub struct Call {
    /// The address of the endpoint.
    pub addr: SocketAddr,
    /// The method.
    pub method: Method,
    /// The path with the query.
    pub path: Box<str>,
    /// Headers beside `Host` and `Content-Length`.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// How long connecting, sending and the head of the response may take together.
    pub timeout: Millis,
    /// Whether a connection that was used before may carry the call. One that the endpoint has just
    /// closed would leave the outcome unknown, which a call that must not be repeated cannot risk.
    pub reuse: bool,
}
