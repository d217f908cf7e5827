use bytes::Bytes;
use http::{HeaderMap, Method};

/// A call that the gateway makes to an endpoint itself.
#[derive(Clone, Debug)]
pub struct EndpointCall {
    /// The method.
    pub method: Method,
    /// The path.
    pub target: Box<str>,
    /// The headers but for `Host`.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}
