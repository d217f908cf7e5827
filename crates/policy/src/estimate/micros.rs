use masticstair_core::prelude::*;
use std::time::Duration;

/// Returns a span in microseconds.
pub(crate) fn micros(span: Duration) -> f64 {
    span.as_secs_f64() * 1e6
}

/// Returns the microseconds from `earlier` to `now`, zero when `earlier` is later.
pub(crate) fn micros_since(now: Timestamp, earlier: Timestamp) -> f64 {
    now.get().saturating_sub(earlier.get()) as f64
}
