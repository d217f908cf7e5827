use crate::estimate::Latency;
use masticstair_core::prelude::*;
use std::time::Duration;

/// Call that was just sent, as input of the hedge decision.
#[derive(Clone, Copy, Debug)]
pub struct HedgeView {
    /// True if the stage may run more than once; other calls are never hedged.
    pub idempotent: bool,
    /// Estimated latency of the call.
    pub sent: Latency,
    /// Estimated latency of the pool, which is assumed for the hedge.
    pub pool: Latency,
    /// Expected total latency of the later stages.
    pub later_stages: Duration,
    /// Deadline of the request.
    pub deadline: Timestamp,
}
