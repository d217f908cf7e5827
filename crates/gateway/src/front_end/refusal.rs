use masticstair_core::prelude::*;

use super::RefusalReason;

/// The end of a request that got no answer from an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// Whether the request ran.
    pub outcome: RefusalOutcome,
    /// Why.
    pub reason: RefusalReason,
    /// After which time asking again is safe and sensible; only for requests that were not run.
    pub retry_after: Option<Millis>,
    /// What happened, for the person who reads it.
    pub detail: Box<str>,
}

impl Refusal {
    /// A request that was not run and never will be.
    pub fn not_run(reason: RefusalReason, detail: impl Into<Box<str>>) -> Self {
        let (outcome, detail) = (RefusalOutcome::NotRun, detail.into());
        Self { outcome, reason, retry_after: None, detail }
    }

    /// A request that may have run.
    pub fn unknown(reason: RefusalReason, detail: impl Into<Box<str>>) -> Self {
        let (outcome, detail) = (RefusalOutcome::Unknown, detail.into());
        Self { outcome, reason, retry_after: None, detail }
    }

    /// Tells when to ask again.
    #[must_use]
    pub fn with_retry_after(mut self, after: Millis) -> Self {
        self.retry_after = Some(after);
        self
    }
}
