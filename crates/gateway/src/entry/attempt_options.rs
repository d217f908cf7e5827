use masticstair_core::prelude::*;
use std::time::Duration;

/// The parameters of one attempt at an endpoint, beside the request itself.
pub(super) struct AttemptOptions<'a> {
    pub(super) priority: Option<u8>,
    pub(super) inputs: Option<&'a [ResultHandle]>,
    pub(super) resume_after: Option<u64>,
    /// Limit for the head of the answer.
    pub(super) timeout: Duration,
}
