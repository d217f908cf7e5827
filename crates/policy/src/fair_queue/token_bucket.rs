use super::AccountLimits;
use masticstair_core::prelude::*;
use std::time::Duration;

/// The longest wait that is stated; a rate of zero never gives a token.
const MAX_WAIT: Duration = Duration::from_secs(3_600);

/// Tolerance for rounding to whole microseconds.
const WHOLE_TOKEN: f64 = 1.0 - 1e-6;

/// A token bucket; one token starts one request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    /// At most the burst.
    tokens: f64,
    updated: Timestamp,
}

impl TokenBucket {
    /// Starts full.
    pub(crate) fn new(now: Timestamp, limits: &AccountLimits) -> Self {
        Self { tokens: burst(limits), updated: now }
    }

    /// Adds the tokens of the time that has passed under `limits`.
    pub(crate) fn refill(&mut self, now: Timestamp, limits: &AccountLimits) {
        let earned = now.since(self.updated).as_secs_f64() * limits.rate.get();
        self.tokens = (self.tokens + earned).min(burst(limits));
        self.updated = self.updated.max(now);
    }

    /// Tells whether a request may start.
    pub(crate) fn has_token(&self) -> bool {
        self.tokens >= WHOLE_TOKEN
    }

    /// Takes the token of a request that starts.
    pub(crate) fn take(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }

    /// Returns the time until `count` tokens have been earned.
    pub(crate) fn wait_for(&self, count: f64, limits: &AccountLimits) -> Duration {
        let missing = count - self.tokens;
        if missing <= 1.0 - WHOLE_TOKEN {
            return Duration::ZERO;
        }
        let seconds = missing / limits.rate.get().max(1e-9);
        // Rounded up: a timer that fires too early would find no token and be set again and again.
        Duration::from_secs_f64(seconds.min(MAX_WAIT.as_secs_f64())) + Duration::from_micros(1)
    }

    /// Returns the time until the bucket is full, after which it can be forgotten.
    pub(crate) fn wait_for_full(&self, limits: &AccountLimits) -> Duration {
        self.wait_for(burst(limits), limits)
    }
}

fn burst(limits: &AccountLimits) -> f64 {
    f64::from(limits.burst.get().max(1))
}
