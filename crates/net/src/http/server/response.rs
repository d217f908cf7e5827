use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_TYPE, HeaderName, RETRY_AFTER};
use http::{HeaderMap, HeaderValue, StatusCode};
use masticstair_core::prelude::*;
use serde::Serialize;

use super::{BodyStream, ResponseContent};

/// A response of a `Handler`.
#[derive(Debug)]
pub struct Response {
    /// The status code.
    pub status: StatusCode,
    /// The headers; the server adds `Content-Length` if the body has a known length.
    pub headers: HeaderMap,
    /// The body, complete or streamed.
    pub body: ResponseContent,
}

impl Response {
    /// Creates a response with a complete body and its `Content-Type`.
    pub fn new(status: StatusCode, media_type: &'static str, body: impl Into<Bytes>) -> Self {
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(media_type));
        Self { status, headers, body: ResponseContent::Full(body.into()) }
    }

    /// Creates a response with `value` as a JSON body.
    pub fn json(status: StatusCode, value: &impl Serialize) -> Self {
        Self::serialized(status, "application/json", value)
    }

    /// Creates a response from a problem document, with `Retry-After` if the problem has a delay.
    pub fn problem(problem: &Problem) -> Self {
        let status =
            StatusCode::from_u16(problem.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let response = Self::serialized(status, "application/problem+json", problem);
        match problem.retry_after_s {
            Some(seconds) => response.with_header(RETRY_AFTER, HeaderValue::from(seconds)),
            None => response,
        }
    }

    /// Creates a 200 response that streams server-sent events.
    pub fn events(stream: BodyStream) -> Self {
        let mut response = Self::new(StatusCode::OK, "text/event-stream", Bytes::new());
        response.headers.insert(http::header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
        response.body = ResponseContent::Stream(stream);
        response
    }

    /// Sets a header and replaces earlier values of it.
    #[must_use]
    pub fn with_header(mut self, name: HeaderName, value: HeaderValue) -> Self {
        self.headers.insert(name, value);
        self
    }

    /// Makes the server close the connection after this response.
    #[must_use]
    pub fn closing(self) -> Self {
        self.with_header(CONNECTION, HeaderValue::from_static("close"))
    }

    fn serialized(status: StatusCode, media_type: &'static str, value: &impl Serialize) -> Self {
        match serde_json::to_vec(value) {
            Ok(body) => Self::new(status, media_type, body),
            // Serialization fails only for maps with non-string keys, which no response type contains.
            Err(_) => Self::new(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", "encoding failed"),
        }
    }
}
