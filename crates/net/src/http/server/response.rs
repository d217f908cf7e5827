use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_TYPE, HeaderName, RETRY_AFTER};
use http::{HeaderMap, HeaderValue, StatusCode};
use masticstair_core::prelude::*;
use serde::Serialize;

use super::{BodyStream, ResponseContent};

/// A response.
#[derive(Debug)]
pub struct Response {
    /// The status.
    pub status: StatusCode,
    /// The headers; `Content-Length` is set when the body is sent.
    pub headers: HeaderMap,
    /// The body.
    pub body: ResponseContent,
}

impl Response {
    /// Makes a response with a body of a media type.
    pub fn new(status: StatusCode, media_type: &'static str, body: impl Into<Bytes>) -> Self {
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(media_type));
        Self { status, headers, body: ResponseContent::Full(body.into()) }
    }

    /// Makes a response with a JSON body.
    pub fn json(status: StatusCode, value: &impl Serialize) -> Self {
        Self::serialized(status, "application/json", value)
    }

    /// Makes a response from a problem document.
    pub fn problem(problem: &Problem) -> Self {
        let status =
            StatusCode::from_u16(problem.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let response = Self::serialized(status, "application/problem+json", problem);
        match problem.retry_after_s {
            Some(seconds) => response.with_header(RETRY_AFTER, HeaderValue::from(seconds)),
            None => response,
        }
    }

    /// Makes a response of server-sent events.
    pub fn events(stream: BodyStream) -> Self {
        let mut response = Self::new(StatusCode::OK, "text/event-stream", Bytes::new());
        response.headers.insert(http::header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
        response.body = ResponseContent::Stream(stream);
        response
    }

    /// Adds a header.
    #[must_use]
    pub fn with_header(mut self, name: HeaderName, value: HeaderValue) -> Self {
        self.headers.insert(name, value);
        self
    }

    /// Closes the connection after this response.
    #[must_use]
    pub fn closing(self) -> Self {
        self.with_header(CONNECTION, HeaderValue::from_static("close"))
    }

    fn serialized(status: StatusCode, media_type: &'static str, value: &impl Serialize) -> Self {
        match serde_json::to_vec(value) {
            Ok(body) => Self::new(status, media_type, body),
            // Only a map with keys that are no texts fails, which no response type has.
            Err(_) => Self::new(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", "encoding failed"),
        }
    }
}
