mod admit;
mod host_limit;
mod shared_limits;

use super::*;
use crate::estimate::Latency;
use crate::fair_queue::{Cost, WorkClass};
use masticstair_core::prelude::*;
use proptest::prelude::*;
use std::time::Duration;

fn at(ms: u64) -> Timestamp {
    Timestamp::new(ms * 1_000)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Two stages of 100 ms with a deviation of 20 ms.
fn stages() -> [StageEstimate; 2] {
    [StageEstimate { latency: Latency { mean: ms(100), deviation: ms(20) } }; 2]
}

fn idle_queue() -> QueueView {
    let account = AccountView {
        waiting_cost: Cost::new(0),
        cost_ahead: Cost::new(0),
        running: Slots::new(0),
        concurrency: Slots::new(10),
        rate_wait: Duration::ZERO,
    };
    QueueView { account, limit: Slots::new(10), in_flight: Slots::new(0) }
}
