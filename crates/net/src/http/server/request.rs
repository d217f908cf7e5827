use bytes::Bytes;
use http::request::Parts;

/// A request whose body was read within the bounds.
#[derive(Debug)]
pub struct Request {
    /// Method, target and headers.
    pub head: Parts,
    /// The whole body.
    pub body: Bytes,
}

impl Request {
    /// Returns a header as text, when it is there and is visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name).and_then(|v| v.to_str().ok())
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.head.uri.path()
    }

    /// Returns the first value of a parameter of the query, undecoded.
    pub fn query(&self, name: &str) -> Option<&str> {
        let pairs = self.head.uri.query()?.split('&');
        pairs.filter_map(|pair| pair.split_once('=')).find(|(k, _)| *k == name).map(|(_, v)| v)
    }
}
