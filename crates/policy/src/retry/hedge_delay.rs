use super::HedgeView;
use masticstair_core::prelude::*;
use std::time::Duration;

/// A call is late after its mean latency plus this many mean absolute deviations.
const LATE_DEVIATIONS: u32 = 3;

/// The time left until the deadline when a hedge is sent, as a multiple of the time that the hedge and
/// the later stages are estimated to take at most.
const SAFETY_FACTOR: u32 = 2;

/// Returns how long to wait for the answer before sending a hedge, or `None` if a hedge can't help.
///
/// A hedge is sent if the call is late and would miss the deadline without it: as late as the hedge
/// can still complete, but never while the call is within its usual latency.
pub fn hedge_delay(now: Timestamp, view: &HedgeView) -> Option<Duration> {
    if !view.idempotent {
        return None;
    }
    let remaining = view.deadline.since(now);
    let needed = view.pool.upper_bound(LATE_DEVIATIONS).saturating_add(view.later_stages);
    let last_safe = remaining.saturating_sub(needed.saturating_mul(SAFETY_FACTOR));
    let delay = last_safe.max(view.sent.upper_bound(LATE_DEVIATIONS));
    let least = view.pool.mean.saturating_add(view.later_stages);
    (delay.saturating_add(least) < remaining).then_some(delay)
}
