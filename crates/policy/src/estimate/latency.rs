use std::time::Duration;

/// Estimated latency of a call.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Latency {
    /// Expected latency.
    pub mean: Duration,
    /// Mean absolute deviation from `mean`.
    pub deviation: Duration,
}

impl Latency {
    /// Returns the mean plus `deviations` deviations.
    pub fn upper_bound(&self, deviations: u32) -> Duration {
        self.mean.saturating_add(self.deviation.saturating_mul(deviations))
    }
}
