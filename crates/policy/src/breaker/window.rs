use masticstair_core::prelude::*;
use std::time::Duration;

/// The length of the window over which the share of failures counts.
const WINDOW: Duration = Duration::from_secs(10);

/// The parts of the window; the oldest part is dropped as a whole.
const BUCKET_COUNT: usize = 5;

/// Successes and failures in a sliding window.
#[derive(Clone, Debug, Default)]
pub(crate) struct Window {
    /// Successes and failures by part of the window.
    buckets: [(u32, u32); BUCKET_COUNT],
    /// The number of the current part since the start of the clock.
    current_bucket: u64,
}

impl Window {
    /// Counts the end of a call.
    pub(crate) fn record(&mut self, now: Timestamp, success: bool) {
        let at = self.advance(now);
        let (successes, failures) = &mut self.buckets[at];
        if success { *successes += 1 } else { *failures += 1 }
    }

    /// Returns the successes and failures in the window.
    pub(crate) fn totals(&self) -> (u32, u32) {
        self.buckets.iter().fold((0, 0), |sum, bucket| (sum.0 + bucket.0, sum.1 + bucket.1))
    }

    /// Forgets every call.
    pub(crate) fn clear(&mut self) {
        self.buckets = Default::default();
    }

    /// Empties the parts that have left the window and returns the current part.
    fn advance(&mut self, now: Timestamp) -> usize {
        let bucket = now.get() / (WINDOW.as_micros() as u64 / BUCKET_COUNT as u64);
        let elapsed_buckets = bucket.saturating_sub(self.current_bucket).min(BUCKET_COUNT as u64);
        for i in 0..elapsed_buckets {
            self.buckets[((bucket - i) % BUCKET_COUNT as u64) as usize] = (0, 0);
        }
        self.current_bucket = self.current_bucket.max(bucket);
        (self.current_bucket % BUCKET_COUNT as u64) as usize
    }
}
