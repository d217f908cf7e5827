use masticstair_core::prelude::*;
use std::time::Duration;

/// Converts a duration to microseconds.
pub(crate) fn micros(span: Duration) -> f64 {
    span.as_secs_f64() * 1e6
}

/// Returns the microseconds from `earlier` to `now`; zero if `earlier` is after `now`.
pub(crate) fn micros_since(now: Timestamp, earlier: Timestamp) -> f64 {
    now.get().saturating_sub(earlier.get()) as f64
}
