use masticstair_core::prelude::*;
use std::time::Duration;

use crate::smoothing::smoothed;

/// The weight of a new latency in the mean.
const LATENCY_WEIGHT: f64 = 0.2;

/// The weight of a call in the share of failures.
const FAILURE_WEIGHT: f64 = 0.15;

/// How long an endpoint is left alone after the first failure of its connection; doubles with each more.
const AVOID: Duration = Duration::from_millis(500);

/// The most doublings of `AVOID`.
const AVOID_DOUBLINGS: u32 = 3;

/// What this host has seen of an endpoint.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointHealth {
    /// Calls that were not answered yet.
    pub in_flight: u32,
    /// Prompt tokens of calls without a first event.
    pub prompt_backlog: u64,
    latency: Option<Duration>,
    failing: f64,
    /// Connections in a row that failed or fell silent.
    lost: u32,
    avoid_until: Timestamp,
}

impl EndpointHealth {
    /// Notes an answer, and whether the endpoint reports a failure with it.
    pub fn note_answer(&mut self, latency: Duration, failed: bool) {
        self.lost = 0;
        self.avoid_until = Timestamp::default();
        let seen = if failed { 1.0 } else { 0.0 };
        self.failing += FAILURE_WEIGHT * (seen - self.failing);
        if !failed {
            self.latency = Some(smoothed(self.latency, latency, LATENCY_WEIGHT));
        }
    }

    /// Notes a connection that failed, or a call that was not answered in time.
    pub fn note_lost(&mut self, now: Timestamp) {
        let doublings = self.lost.min(AVOID_DOUBLINGS);
        self.lost += 1;
        self.failing += FAILURE_WEIGHT * (1.0 - self.failing);
        self.avoid_until = now.plus(AVOID * (1 << doublings));
    }

    /// Notes that the endpoint had no room for a call.
    pub fn note_full(&mut self, now: Timestamp) {
        self.avoid_until = self.avoid_until.max(now.plus(AVOID / 4));
    }

    /// Returns the mean latency of successful answers.
    pub fn latency(&self) -> Option<Duration> {
        self.latency
    }

    /// Returns the share of calls that failed lately, from 0 to 1.
    pub fn failing(&self) -> f64 {
        self.failing
    }

    /// Tells whether the endpoint is left alone after failures.
    pub fn is_avoided(&self, now: Timestamp) -> bool {
        now < self.avoid_until
    }
}
