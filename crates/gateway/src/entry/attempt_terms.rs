use masticstair_core::prelude::*;
use std::time::Duration;

/// What an attempt adds to the request.
pub(super) struct AttemptTerms<'a> {
    pub(super) priority: Option<u8>,
    pub(super) inputs: Option<&'a [ResultHandle]>,
    pub(super) resume_after: Option<u64>,
    /// How long the head of the answer may take.
    pub(super) timeout: Duration,
}
