use http::{HeaderMap, StatusCode};

/// The status and headers of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// The status code.
    pub status: StatusCode,
    /// All headers as the endpoint sent them.
    pub headers: HeaderMap,
}
