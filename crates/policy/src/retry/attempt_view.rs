use super::AttemptProgress;
use masticstair_core::prelude::*;
use std::time::Duration;

/// Failed attempt at a stage, as input of the retry decision.
#[derive(Clone, Copy, Debug)]
pub struct AttemptView {
    /// True if the stage may run more than once.
    pub idempotent: bool,
    /// Whether the call may have been sent.
    pub progress: AttemptProgress,
    /// Number of attempts at this stage including the failed one; at least 1.
    pub attempts: u32,
    /// Deadline of the request.
    pub deadline: Timestamp,
    /// Expected latency of another attempt plus the later stages.
    pub expected: Duration,
}
