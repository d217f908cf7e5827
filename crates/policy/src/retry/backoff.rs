use masticstair_core::prelude::*;
use std::time::Duration;

/// The mean backoff before the first retry.
const BASE_BACKOFF: Duration = Duration::from_millis(5);

/// The longest mean backoff.
const MAX_BACKOFF: Duration = Duration::from_millis(320);

/// Returns the backoff after `attempts` attempts: exponential, with a jitter of one half either way so
/// that requests that failed together do not come back together.
pub(super) fn backoff(attempts: u32, draw: Draw) -> Duration {
    let doublings = attempts.saturating_sub(1).min(16);
    BASE_BACKOFF.saturating_mul(1 << doublings).min(MAX_BACKOFF).mul_f64(0.5 + draw.fraction())
}
