use std::time::Duration;

/// An estimated latency.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Latency {
    /// The expected time.
    pub mean: Duration,
    /// The mean absolute deviation from the expected time.
    pub deviation: Duration,
}

impl Latency {
    /// Returns the mean plus `deviations` deviations.
    pub fn upper_bound(&self, deviations: u32) -> Duration {
        self.mean.saturating_add(self.deviation.saturating_mul(deviations))
    }
}
