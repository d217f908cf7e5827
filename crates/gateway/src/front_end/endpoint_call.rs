use bytes::Bytes;
use http::{HeaderMap, Method};

/// A call that the gateway originates, as opposed to a forwarded request.
#[derive(Clone, Debug)]
pub struct EndpointCall {
    /// HTTP method.
    pub method: Method,
    /// Path of the request target.
    pub target: Box<str>,
    /// All headers except `Host`, which the gateway adds.
    pub headers: HeaderMap,
    /// Encoded body.
    pub body: Bytes,
}
