use masticstair_core::prelude::*;
use std::time::Duration;

/// Mean backoff before the first retry.
const BASE_BACKOFF: Duration = Duration::from_millis(5);

/// Maximum mean backoff.
const MAX_BACKOFF: Duration = Duration::from_millis(320);

/// Returns the backoff after `attempts` attempts: exponential with a jitter of ±50 %, so that requests
/// that failed at the same time are not retried at the same time.
pub(super) fn backoff(attempts: u32, draw: Draw) -> Duration {
    let doublings = attempts.saturating_sub(1).min(16);
    BASE_BACKOFF.saturating_mul(1 << doublings).min(MAX_BACKOFF).mul_f64(0.5 + draw.fraction())
}
