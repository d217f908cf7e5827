use masticstair_core::prelude::*;
use std::time::Duration;

use super::PREFILL_TOKENS_PER_MS;

/// Timeout of a first event, as a fraction of the objective.
const OBJECTIVE_FRACTION: f64 = 0.8;

/// Timeout of a first event as a multiple of the time in which a typical engine reads the prompts. Engines of one
/// pool differ in speed, and requests of other hosts wait there too.
const READING_TIMES: f64 = 3.0;

/// Returns how long to wait for the first event of an engine that has `unread` prompt tokens to read, including those
/// of the request, before the request is sent to another engine. That engine would read the whole prompt again, so
/// an engine that is still reading is given the time to finish.
pub fn first_event_timeout(unread: TokenCount, objective: Duration) -> Duration {
    let reading_ms = unread.get() as f64 / PREFILL_TOKENS_PER_MS;
    let reading = Duration::from_secs_f64(reading_ms / 1e3);
    objective.mul_f64(OBJECTIVE_FRACTION).max(reading.mul_f64(READING_TIMES))
}
