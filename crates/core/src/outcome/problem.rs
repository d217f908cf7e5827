use serde::{Deserialize, Serialize};

use super::RefusalOutcome;
use crate::id::RequestId;

/// A problem document (RFC 9457) as the body of a refusal.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Problem {
    /// The kind of problem, stable across versions, such as `deadline-unreachable`.
    #[serde(rename = "type")]
    pub kind: Box<str>,
    /// The HTTP status.
    pub status: u16,
    /// What happened, with the value and the limit.
    pub detail: Box<str>,
    /// How far the request came.
    pub outcome: RefusalOutcome,
    /// The header, path part or body field that was refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub field: Option<Box<str>>,
    /// The request, when it got an id.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_id: Option<RequestId>,
    /// Whole seconds after which asking again is safe and sensible.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_s: Option<u32>,
}

impl Problem {
    /// Describes a request that was not run.
    pub fn not_run(status: u16, kind: &str, detail: impl Into<Box<str>>) -> Self {
        Self::new(status, kind, detail, RefusalOutcome::NotRun)
    }

    /// Describes a request that failed.
    pub fn failed(status: u16, kind: &str, detail: impl Into<Box<str>>) -> Self {
        Self::new(status, kind, detail, RefusalOutcome::Failed)
    }

    /// Describes a request whose outcome is unknown.
    pub fn unknown(status: u16, kind: &str, detail: impl Into<Box<str>>) -> Self {
        Self::new(status, kind, detail, RefusalOutcome::Unknown)
    }

    fn new(status: u16, kind: &str, detail: impl Into<Box<str>>, outcome: RefusalOutcome) -> Self {
        let (kind, detail) = (kind.into(), detail.into());
        Self { kind, status, detail, outcome, field: None, request_id: None, retry_after_s: None }
    }

    /// Names the field that was refused.
    #[must_use]
    pub fn with_field(mut self, field: &str) -> Self {
        self.field = Some(field.into());
        self
    }

    /// Tells after how many seconds asking again is safe and sensible.
    #[must_use]
    pub fn with_retry_after(mut self, seconds: u32) -> Self {
        self.retry_after_s = Some(seconds);
        self
    }

    /// Names the request.
    #[must_use]
    pub fn with_request(mut self, id: RequestId) -> Self {
        self.request_id = Some(id);
        self
    }
}
