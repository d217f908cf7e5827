use bytes::Bytes;
use http::request::Parts;

/// A request with its complete body, which is within the limits of the server.
#[derive(Debug)]
pub struct Request {
    /// Method, target and headers.
    pub head: Parts,
    /// The complete body; empty if the request has none.
    pub body: Bytes,
}

impl Request {
    /// Returns the value of a header, or `None` if it is absent or not visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name).and_then(|v| v.to_str().ok())
    }

    /// Returns the path of the target without the query, still percent-encoded.
    pub fn path(&self) -> &str {
        self.head.uri.path()
    }

    /// Returns the first value of a query parameter, still percent-encoded.
    pub fn query(&self, name: &str) -> Option<&str> {
        let pairs = self.head.uri.query()?.split('&');
        pairs.filter_map(|pair| pair.split_once('=')).find(|(k, _)| *k == name).map(|(_, v)| v)
    }
}
