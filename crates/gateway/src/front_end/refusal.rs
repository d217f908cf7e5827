use masticstair_core::prelude::*;

use super::RefusalReason;

/// The end of a request that got no answer from an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// Whether the request ran.
    pub outcome: RefusalOutcome,
    /// The category of the cause.
    pub reason: RefusalReason,
    /// The delay after which a retry is safe and useful; only for requests that were not run.
    pub retry_after: Option<Millis>,
    /// A description for operators and client developers.
    pub detail: Box<str>,
}

impl Refusal {
    /// Refuses a request that was not run and never will be.
    pub fn not_run(reason: RefusalReason, detail: impl Into<Box<str>>) -> Self {
        let (outcome, detail) = (RefusalOutcome::NotRun, detail.into());
        Self { outcome, reason, retry_after: None, detail }
    }

    /// Refuses a request that may have run.
    pub fn unknown(reason: RefusalReason, detail: impl Into<Box<str>>) -> Self {
        let (outcome, detail) = (RefusalOutcome::Unknown, detail.into());
        Self { outcome, reason, retry_after: None, detail }
    }

    /// Adds the delay after which the client may retry.
    #[must_use]
    pub fn with_retry_after(mut self, after: Millis) -> Self {
        self.retry_after = Some(after);
        self
    }
}
