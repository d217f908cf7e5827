use masticstair_core::prelude::*;
use std::time::Duration;

use crate::smoothing::smoothed;

/// The weight of a new latency in the smoothed mean.
const LATENCY_WEIGHT: f64 = 0.2;

/// The weight of a call in the failure rate.
const FAILURE_WEIGHT: f64 = 0.15;

/// The weight of a new first event in the relative latency.
const RELATIVE_LATENCY_WEIGHT: f64 = 0.2;

/// Bounds of a single ratio, so that one first event that waited for another request is not taken for a slow engine.
const RELATIVE_LATENCY_RANGE: [f64; 2] = [0.3, 8.0];

/// The backoff after the first failed connection or unanswered call; doubles with each consecutive one.
const BACKOFF: Duration = Duration::from_millis(500);

/// The limit on doublings of `BACKOFF`.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// Latency and failures of an endpoint, as observed by this host.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointHealth {
    /// Calls of this host that the endpoint has not answered.
    pub in_flight: u32,
    /// Prompt tokens that the endpoint is expected to read for the calls that have not returned their first event.
    pub prompt_backlog: TokenCount,
    latency: Option<Duration>,
    /// The smoothed ratio of the times to the first event to the expected ones; none before the first.
    relative_latency: Option<f64>,
    failure_rate: f64,
    /// Failed connections and unanswered calls since the last answer.
    consecutive_failures: u32,
    backoff_until: Timestamp,
}

impl EndpointHealth {
    /// Records an answer and ends the backoff. The latency of an answer that reports a failure (`failed`) is
    /// ignored.
    pub fn record_answer(&mut self, latency: Duration, failed: bool) {
        self.consecutive_failures = 0;
        self.backoff_until = Timestamp::default();
        let failure = if failed { 1.0 } else { 0.0 };
        self.failure_rate += FAILURE_WEIGHT * (failure - self.failure_rate);
        if !failed {
            self.latency = Some(smoothed(self.latency, latency, LATENCY_WEIGHT));
        }
    }

    /// Records a connection that failed or a call that timed out.
    pub fn record_unanswered(&mut self, now: Timestamp) {
        let doublings = self.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS);
        self.consecutive_failures += 1;
        self.failure_rate += FAILURE_WEIGHT * (1.0 - self.failure_rate);
        self.backoff_until = now.plus(BACKOFF * (1 << doublings));
    }

    /// Records that the endpoint refused a call for lack of capacity; the backoff is a quarter of `BACKOFF`.
    pub fn record_full(&mut self, now: Timestamp) {
        self.backoff_until = self.backoff_until.max(now.plus(BACKOFF / 4));
    }

    /// Records a first event that was expected to take `expected`, and ends the backoff.
    pub fn record_first_event(&mut self, took: Duration, expected: Duration) {
        self.record_answer(took, false);
        let ratio = took.as_secs_f64() / expected.as_secs_f64().max(f64::MIN_POSITIVE);
        let ratio = ratio.clamp(RELATIVE_LATENCY_RANGE[0], RELATIVE_LATENCY_RANGE[1]);
        // Starts from a typical engine, so that a single first event says little.
        let known = self.relative_latency();
        self.relative_latency = Some(known + RELATIVE_LATENCY_WEIGHT * (ratio - known));
    }

    /// Returns the time to the first event relative to a typical engine of the pool; 1 before the first one.
    pub fn relative_latency(&self) -> f64 {
        self.relative_latency.unwrap_or(1.0)
    }

    /// Returns the smoothed mean latency of successful answers; `None` before the first one.
    pub fn latency(&self) -> Option<Duration> {
        self.latency
    }

    /// Returns the smoothed fraction of calls that failed, from 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Returns whether the endpoint is in backoff.
    pub fn is_in_backoff(&self, now: Timestamp) -> bool {
        now < self.backoff_until
    }
}
