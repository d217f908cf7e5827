use hdrhistogram::{CreationError, Histogram};
use std::io;
use std::time::Duration;

/// The highest latency that is told apart, in nanoseconds.
const MAX_NANOS: u64 = 60_000_000_000;

/// Latencies up to a minute with three digits.
#[derive(Clone, Debug)]
pub struct LatencyHistogram(Histogram<u64>);

impl LatencyHistogram {
    /// Makes an empty histogram.
    ///
    /// # Errors
    ///
    /// Fails when there is no memory for it.
    pub fn new() -> io::Result<Self> {
        let made = Histogram::new_with_bounds(1, MAX_NANOS, 3);
        made.map(Self).map_err(|e: CreationError| io::Error::other(e.to_string()))
    }

    /// Counts a latency.
    pub fn record(&mut self, latency: Duration) {
        let nanos = u64::try_from(latency.as_nanos()).unwrap_or(MAX_NANOS);
        self.0.saturating_record(nanos);
    }

    /// Counts everything that another histogram has counted.
    pub fn merge(&mut self, other: &Self) {
        // Both have the same bounds.
        let _ = self.0.add(&other.0);
    }

    /// Returns a percentile in microseconds.
    pub fn percentile_us(&self, percent: f64) -> f64 {
        self.0.value_at_percentile(percent) as f64 / 1e3
    }

    /// Returns how many latencies were counted.
    pub fn count(&self) -> u64 {
        self.0.len()
    }
}
