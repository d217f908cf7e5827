use masticstair_core::prelude::*;
use std::time::Duration;

use crate::smoothing::smoothed;

/// The weight of a new latency in the mean.
const LATENCY_WEIGHT: f64 = 0.2;

/// The weight of a call in the share of failures.
const FAILURE_WEIGHT: f64 = 0.15;

/// How long an endpoint is left alone after the first failure of its connection; doubles with each more.
const BACKOFF: Duration = Duration::from_millis(500);

/// The most doublings of `BACKOFF`.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// What this host has seen of an endpoint.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointHealth {
    /// Calls that were not answered yet.
    pub in_flight: u32,
    /// Prompt tokens of calls without a first event.
    pub prompt_backlog: u64,
    latency: Option<Duration>,
    failure_rate: f64,
    /// Connections in a row that failed or fell silent.
    consecutive_failures: u32,
    backoff_until: Timestamp,
}

impl EndpointHealth {
    /// Notes an answer, and whether the endpoint reports a failure with it.
    pub fn record_answer(&mut self, latency: Duration, failed: bool) {
        self.consecutive_failures = 0;
        self.backoff_until = Timestamp::default();
        let failure = if failed { 1.0 } else { 0.0 };
        self.failure_rate += FAILURE_WEIGHT * (failure - self.failure_rate);
        if !failed {
            self.latency = Some(smoothed(self.latency, latency, LATENCY_WEIGHT));
        }
    }

    /// Notes a connection that failed, or a call that was not answered in time.
    pub fn record_unanswered(&mut self, now: Timestamp) {
        let doublings = self.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS);
        self.consecutive_failures += 1;
        self.failure_rate += FAILURE_WEIGHT * (1.0 - self.failure_rate);
        self.backoff_until = now.plus(BACKOFF * (1 << doublings));
    }

    /// Notes that the endpoint had no room for a call.
    pub fn record_full(&mut self, now: Timestamp) {
        self.backoff_until = self.backoff_until.max(now.plus(BACKOFF / 4));
    }

    /// Returns the mean latency of successful answers.
    pub fn latency(&self) -> Option<Duration> {
        self.latency
    }

    /// Returns the share of calls that failed lately, from 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Tells whether the endpoint is left alone after failures.
    pub fn is_in_backoff(&self, now: Timestamp) -> bool {
        now < self.backoff_until
    }
}
