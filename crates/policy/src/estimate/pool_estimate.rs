use super::{Latency, MovingMean, Share, micros};
use masticstair_core::prelude::*;
use std::time::Duration;

/// The time to the first token, or for a whole call, that is assumed before the first answer.
const ASSUMED_FIRST_TOKEN: Duration = Duration::from_millis(50);

/// The time for a token that is assumed before the first answer.
const ASSUMED_PER_TOKEN: Duration = Duration::from_millis(20);

/// The latency of a stage over all endpoints of its pool; the fallback for quiet endpoints.
#[derive(Clone, Debug)]
pub struct PoolEstimate {
    /// Microseconds to the first token, or for the whole call when there are no tokens.
    pub(crate) first_token_us: MovingMean,
    /// Microseconds for each token.
    pub(crate) per_token_us: MovingMean,
    /// The share of calls that succeeded.
    pub(crate) success: MovingMean,
}

impl PoolEstimate {
    /// Starts with assumed latencies, which the first answer replaces.
    pub fn new() -> Self {
        let (first, token) = (micros(ASSUMED_FIRST_TOKEN), micros(ASSUMED_PER_TOKEN));
        Self {
            first_token_us: MovingMean::assumed(first, first),
            per_token_us: MovingMean::assumed(token, token),
            success: MovingMean::assumed(1.0, 0.0),
        }
    }

    /// Estimates a call of `size` tokens (zero for stages without tokens).
    pub fn latency(&self, size: TokenCount) -> Latency {
        latency_of(&self.first_token_us, &self.per_token_us, size)
    }

    /// Returns the share of calls that succeeded.
    pub fn success(&self) -> Share {
        Share::clamped(self.success.mean)
    }
}

impl Default for PoolEstimate {
    fn default() -> Self {
        Self::new()
    }
}

/// Adds up the first token and the others; deviations of one call add up because they correlate.
pub(super) fn latency_of(first: &MovingMean, per_token: &MovingMean, size: TokenCount) -> Latency {
    let tokens = size.get() as f64;
    let span = |x: f64| Duration::from_micros(x.max(0.0) as u64);
    Latency {
        mean: span(first.mean + per_token.mean * tokens),
        deviation: span(first.deviation + per_token.deviation * tokens),
    }
}
