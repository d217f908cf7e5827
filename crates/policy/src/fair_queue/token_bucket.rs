use super::AccountLimits;
use masticstair_core::prelude::*;
use std::time::Duration;

/// Upper bound of a computed wait; with a rate of zero, no token ever arrives.
const MAX_WAIT: Duration = Duration::from_secs(3_600);

/// Token count treated as a whole token; tolerates rounding to microseconds.
const WHOLE_TOKEN: f64 = 1.0 - 1e-6;

/// Token bucket; starting a request takes one token.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    /// Available tokens, at most the burst.
    tokens: f64,
    updated: Timestamp,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub(crate) fn new(now: Timestamp, limits: &AccountLimits) -> Self {
        Self { tokens: burst(limits), updated: now }
    }

    /// Adds the tokens accrued since the last refill at the rate of `limits`.
    pub(crate) fn refill(&mut self, now: Timestamp, limits: &AccountLimits) {
        let earned = now.since(self.updated).as_secs_f64() * limits.rate.get();
        self.tokens = (self.tokens + earned).min(burst(limits));
        self.updated = self.updated.max(now);
    }

    /// Returns whether a token is available.
    pub(crate) fn has_token(&self) -> bool {
        self.tokens >= WHOLE_TOKEN
    }

    /// Takes one token.
    pub(crate) fn take(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }

    /// Returns the time until the bucket has `count` tokens.
    pub(crate) fn wait_for(&self, count: f64, limits: &AccountLimits) -> Duration {
        let missing = count - self.tokens;
        if missing <= 1.0 - WHOLE_TOKEN {
            return Duration::ZERO;
        }
        let seconds = missing / limits.rate.get().max(1e-9);
        // Rounded up, because a timer that fires early finds no token and has to be set again.
        Duration::from_secs_f64(seconds.min(MAX_WAIT.as_secs_f64())) + Duration::from_micros(1)
    }

    /// Returns the time until the bucket is full; after that, its state can be dropped.
    pub(crate) fn wait_for_full(&self, limits: &AccountLimits) -> Duration {
        self.wait_for(burst(limits), limits)
    }
}

fn burst(limits: &AccountLimits) -> f64 {
    f64::from(limits.burst.get().max(1))
}
