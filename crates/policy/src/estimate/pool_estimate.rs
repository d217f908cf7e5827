use super::{Latency, MovingMean, Share, micros};
use masticstair_core::prelude::*;
use std::time::Duration;

/// Time to the first token, or of a whole call without tokens, assumed before the first answer.
const ASSUMED_FIRST_TOKEN: Duration = Duration::from_millis(50);

/// Time per token assumed before the first answer.
const ASSUMED_PER_TOKEN: Duration = Duration::from_millis(20);

/// Latency and success estimate of a stage over all endpoints of its pool; the fallback for endpoints
/// without recent samples.
#[derive(Clone, Debug)]
pub struct PoolEstimate {
    /// Time to the first token, or of the whole call for stages without tokens.
    pub(crate) first_token_us: MovingMean,
    /// Time per token.
    pub(crate) per_token_us: MovingMean,
    /// Success rate of calls, from 0 to 1.
    pub(crate) success: MovingMean,
}

impl PoolEstimate {
    /// Creates an estimate with assumed latencies, which the first answer replaces.
    pub fn new() -> Self {
        let (first, token) = (micros(ASSUMED_FIRST_TOKEN), micros(ASSUMED_PER_TOKEN));
        Self {
            first_token_us: MovingMean::assumed(first, first),
            per_token_us: MovingMean::assumed(token, token),
            success: MovingMean::assumed(1.0, 0.0),
        }
    }

    /// Estimates the latency of a call of `size` tokens (zero for stages without tokens).
    pub fn latency(&self, size: TokenCount) -> Latency {
        latency_of(&self.first_token_us, &self.per_token_us, size)
    }

    /// Returns the success rate of calls; 1 before the first answer.
    pub fn success(&self) -> Share {
        Share::clamped(self.success.mean)
    }
}

impl Default for PoolEstimate {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the latency of a call of `size` tokens. Deviations within a call are correlated and
/// therefore added.
pub(super) fn latency_of(first: &MovingMean, per_token: &MovingMean, size: TokenCount) -> Latency {
    let tokens = size.get() as f64;
    let span = |x: f64| Duration::from_micros(x.max(0.0) as u64);
    Latency {
        mean: span(first.mean + per_token.mean * tokens),
        deviation: span(first.deviation + per_token.deviation * tokens),
    }
}
