use std::time::Duration;

use super::limits::{BACKOFF_MAX, BACKOFF_MIN};
use rand::Rng;

/// Exponential backoff between connection attempts. The delay doubles each time, with jitter between half
/// and all of it.
#[derive(Debug)]
pub(crate) struct Backoff {
    /// The next delay before jitter; between `BACKOFF_MIN` and `BACKOFF_MAX`.
    next: Duration,
}

impl Backoff {
    pub(crate) const fn new() -> Self {
        Self { next: BACKOFF_MIN }
    }

    /// Returns the next delay, with jitter, and doubles the one after it.
    pub(crate) fn next(&mut self, rng: &mut impl Rng) -> Duration {
        let wait = self.next.mul_f64(rng.random_range(0.5..=1.0));
        self.next = (self.next * 2).min(BACKOFF_MAX);
        wait
    }

    /// Returns to the minimum delay; called after a connection that got a reply or lasted for
    /// `MIN_USEFUL_LIFETIME`.
    pub(crate) fn reset(&mut self) {
        self.next = BACKOFF_MIN;
    }
}
