use super::AttemptProgress;
use masticstair_core::prelude::*;
use std::time::Duration;

/// A failed attempt at a stage.
#[derive(Clone, Copy, Debug)]
pub struct AttemptView {
    /// The stage may be repeated.
    pub idempotent: bool,
    /// How far the attempt came.
    pub progress: AttemptProgress,
    /// The attempts at this stage so far, with the failed one; at least 1.
    pub attempts: u32,
    /// The deadline of the request.
    pub deadline: Timestamp,
    /// The expected time of another attempt and of the stages after it.
    pub expected: Duration,
}
