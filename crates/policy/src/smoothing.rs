//! The exponentially weighted mean of times.

use std::time::Duration;

/// Returns the mean after one more measurement, which counts with `weight` (0 to 1); the first one is the mean.
pub fn smoothed(mean: Option<Duration>, measured: Duration, weight: f64) -> Duration {
    match mean {
        Some(mean) => mean.mul_f64(1.0 - weight) + measured.mul_f64(weight),
        None => measured,
    }
}
