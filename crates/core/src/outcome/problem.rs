use serde::{Deserialize, Serialize};

use super::RefusalOutcome;
use crate::id::RequestId;

/// A problem document (RFC 9457), the body of an error response.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Problem {
    /// The problem type, such as `deadline-unreachable`; stable across versions.
    #[serde(rename = "type")]
    pub kind: Box<str>,
    /// The HTTP status code of the response.
    pub status: u16,
    /// A description of the problem with the value and the limit.
    pub detail: Box<str>,
    /// Whether the request may have run.
    pub outcome: RefusalOutcome,
    /// The header, path segment or body field that is invalid; `None` if none is at fault.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub field: Option<Box<str>>,
    /// `None` if the request was refused before it got an id.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_id: Option<RequestId>,
    /// The time in seconds after which the client can retry safely; `None` if no time can be given.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_s: Option<u32>,
}

impl Problem {
    /// Describes a request that was not run, so that the client can retry it.
    pub fn not_run(status: u16, kind: &str, detail: impl Into<Box<str>>) -> Self {
        Self::new(status, kind, detail, RefusalOutcome::NotRun)
    }

    /// Describes a request that failed at an endpoint or in idempotent work.
    pub fn failed(status: u16, kind: &str, detail: impl Into<Box<str>>) -> Self {
        Self::new(status, kind, detail, RefusalOutcome::Failed)
    }

    /// Describes a request with a non-idempotent call that may or may not have run.
    pub fn unknown(status: u16, kind: &str, detail: impl Into<Box<str>>) -> Self {
        Self::new(status, kind, detail, RefusalOutcome::Unknown)
    }

    fn new(status: u16, kind: &str, detail: impl Into<Box<str>>, outcome: RefusalOutcome) -> Self {
        let (kind, detail) = (kind.into(), detail.into());
        Self { kind, status, detail, outcome, field: None, request_id: None, retry_after_s: None }
    }

    /// Sets the header, path segment or body field that is invalid.
    #[must_use]
    pub fn with_field(mut self, field: &str) -> Self {
        self.field = Some(field.into());
        self
    }

    /// Sets the time after which the client can retry safely.
    #[must_use]
    pub fn with_retry_after(mut self, seconds: u32) -> Self {
        self.retry_after_s = Some(seconds);
        self
    }

    /// Sets the id of the refused request.
    #[must_use]
    pub fn with_request(mut self, id: RequestId) -> Self {
        self.request_id = Some(id);
        self
    }
}
