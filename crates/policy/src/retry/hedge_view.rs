use crate::estimate::Latency;
use masticstair_core::prelude::*;
use std::time::Duration;

/// A call that was just sent and may need a hedge.
#[derive(Clone, Copy, Debug)]
pub struct HedgeView {
    /// The stage may be repeated; other calls are never hedged.
    pub idempotent: bool,
    /// The estimated latency of the call that was sent.
    pub sent: Latency,
    /// The estimated latency of the pool, as the hedge will see it.
    pub pool: Latency,
    /// The expected time of the stages after this one.
    pub later_stages: Duration,
    /// The deadline of the request.
    pub deadline: Timestamp,
}
