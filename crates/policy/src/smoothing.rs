//! Exponentially weighted moving average of durations.

use std::time::Duration;

/// Returns an exponentially weighted moving average after a new sample.
///
/// `weight` (0 to 1) is the weight of the sample. Without a previous mean, the sample becomes the
/// mean.
pub fn smoothed(mean: Option<Duration>, sample: Duration, weight: f64) -> Duration {
    match mean {
        Some(mean) => mean.mul_f64(1.0 - weight) + sample.mul_f64(weight),
        None => sample,
    }
}
