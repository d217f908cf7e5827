use std::time::Duration;

/// Timeout of a first event, as a fraction of the objective.
const OBJECTIVE_FRACTION: f64 = 0.8;

/// Timeout of a first event as a multiple of the expected time. Engines share their machines, and prompts of other hosts,
/// which may be several times as long, wait there too. With 3 times the prompt without its cached parts, twice as many
/// shared tokens were read again in trials.
const EXPECTED_TIMES: f64 = 5.0;

/// Returns how long to wait for a first event that is expected after `expected` if nothing is cached, before the request is sent to another engine.
/// That engine would read the whole prompt again, so an engine that is still reading is given the time to finish.
pub fn first_event_timeout(expected: Duration, objective: Duration) -> Duration {
    objective.mul_f64(OBJECTIVE_FRACTION).max(expected.mul_f64(EXPECTED_TIMES))
}
