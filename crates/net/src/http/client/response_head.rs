use http::{HeaderMap, StatusCode};

/// The head of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
}
