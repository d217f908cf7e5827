use super::HedgeView;
use masticstair_core::prelude::*;
use std::time::Duration;

/// A call is unusually late after its mean and this many mean absolute deviations.
const LATE_DEVIATIONS: u32 = 3;

/// The hedge and the later stages get this multiple of their expected time before the deadline.
const SAFETY_FACTOR: u32 = 2;

/// Returns how long to wait for the answer before a hedge is sent, or `None` when a hedge can't help.
///
/// The hedge goes out when the call is unusually late and the deadline would be missed without it: as
/// late as it can still complete, but not while the call is within its usual time.
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
