use masticstair_core::prelude::*;
use std::time::Duration;

use super::CallOutlook;

/// The share of the endpoints' time that full calls of all arrivals take, above which endpoints are scarce. Below, the
/// next endpoint is free soon enough whatever the calls hold.
const SCARCE_UTILISATION: f64 = 0.3;

/// With fewer endpoints, what arrives after a held call waits for a large part of the next one, which costs more than the
/// fixed time that is saved.
const MIN_ENDPOINTS: usize = 4;

/// The longest time in which the rest of a call has to be expected.
const MAX_FILL_TIME: Duration = Duration::from_millis(100);

/// Returns until when a part-filled call waits for more items; none if it is to leave now.
///
/// Answers steady load on endpoints whose calls cost a fixed time: without it the endpoints are busy with part-filled
/// calls nearly all the time, and a burst finds none of them free. With few arrivals or endpoints every call leaves at once.
pub fn hold_until(now: Timestamp, outlook: &CallOutlook) -> Option<Timestamp> {
    let CallOutlook { items, max_items, wait_until, arrivals, endpoints, full_call_time } =
        *outlook;
    let is_needed = items >= max_items || wait_until <= now || endpoints < MIN_ENDPOINTS;
    if is_needed || arrivals <= 0.0 {
        return None;
    }
    let calls = arrivals / max_items.max(1) as f64;
    let utilisation = calls * full_call_time.as_secs_f64() / endpoints.max(1) as f64;
    let fill_time = (max_items - items) as f64 / arrivals;
    if utilisation < SCARCE_UTILISATION || fill_time > MAX_FILL_TIME.as_secs_f64() {
        return None;
    }
    Some(wait_until)
}
