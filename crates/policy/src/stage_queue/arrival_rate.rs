use masticstair_core::prelude::*;
use std::time::Duration;

/// The age at which an arrival counts little more than a third. Bursts last for seconds, and a call for a fraction of one.
const ARRIVAL_MEMORY: Duration = Duration::from_millis(500);

/// The rate at which items arrive, learned with exponential forgetting.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ArrivalRate {
    /// Items per second at `at`.
    per_second: f64,
    at: Timestamp,
}

impl ArrivalRate {
    /// Records `items` that arrived at `now`.
    pub fn record(&mut self, now: Timestamp, items: usize) {
        self.per_second = self.per_second(now) + items as f64 / ARRIVAL_MEMORY.as_secs_f64();
        self.at = now;
    }

    /// Returns the items per second.
    pub fn per_second(&self, now: Timestamp) -> f64 {
        let age = now.since(self.at).as_secs_f64() / ARRIVAL_MEMORY.as_secs_f64();
        self.per_second * (-age).exp()
    }
}
