use masticstair_core::prelude::*;
use std::time::Duration;

/// Length of the sliding window over which the failure ratio is computed.
const WINDOW: Duration = Duration::from_secs(10);

/// Number of buckets of the window; the oldest bucket is dropped as a whole.
const BUCKET_COUNT: usize = 5;

/// Number of successes and failures in a sliding window.
#[derive(Clone, Debug, Default)]
pub(crate) struct Window {
    /// Successes and failures by bucket of the window.
    buckets: [(u32, u32); BUCKET_COUNT],
    /// Number of the current bucket since time zero of the clock.
    current_bucket: u64,
}

impl Window {
    /// Records the result of a call.
    pub(crate) fn record(&mut self, now: Timestamp, success: bool) {
        let index = self.advance(now);
        let (successes, failures) = &mut self.buckets[index];
        if success { *successes += 1 } else { *failures += 1 }
    }

    /// Returns the number of successes and failures in the window.
    pub(crate) fn totals(&self) -> (u32, u32) {
        self.buckets.iter().fold((0, 0), |sum, bucket| (sum.0 + bucket.0, sum.1 + bucket.1))
    }

    /// Resets all buckets.
    pub(crate) fn clear(&mut self) {
        self.buckets = Default::default();
    }

    /// Clears the buckets that have left the window and returns the index of the current one.
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
