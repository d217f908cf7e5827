use super::pool_estimate::latency_of;
use super::{
    CallInFlight, CallNumber, CallOutcome, Floor, Latency, MovingMean, PoolEstimate, Share, micros,
    micros_since,
};
use masticstair_core::prelude::*;
use std::collections::VecDeque;
use std::time::Duration;

/// Time without an answer after which the endpoint and the pool estimate are weighted equally. Shorter
/// values send work to a slow endpoint too often; longer ones leave a recovered endpoint idle.
const CONFIDENCE_HALF_LIFE: Duration = Duration::from_secs(10);

/// Network time of a call in addition to the processing time that the endpoint reports. Without it,
/// calls of a few milliseconds always look queued.
const NETWORK_OVERHEAD: Duration = Duration::from_millis(5);

/// Maximum number of calls in flight, oldest first, scanned per estimate; bounds its cost.
const MAX_SCANNED_CALLS: usize = 8;

/// Lower bound of the expected latency when it is used as a divisor.
const MIN_EXPECTED_US: f64 = 100.0;

/// Latency and success estimate of one endpoint for one stage, from the calls of this host.
#[derive(Clone, Debug)]
pub struct EndpointEstimate {
    first_token_us: MovingMean,
    per_token_us: MovingMean,
    success: MovingMean,
    /// Time when the last call finished.
    updated: Timestamp,
    /// Baseline at low load of the time to the first token and of the time per token.
    first_token_floor_us: Floor,
    per_token_floor_us: Floor,
    /// Calls in flight, ordered by start time.
    calls: VecDeque<CallInFlight>,
    /// Number of the most recently started call.
    last_number: CallNumber,
}

impl EndpointEstimate {
    /// Creates an estimate without samples, which yields the pool estimate until the first answer.
    pub fn new(now: Timestamp) -> Self {
        let unknown = MovingMean::assumed(0.0, 0.0);
        Self {
            first_token_us: unknown,
            per_token_us: unknown,
            success: unknown,
            updated: now,
            first_token_floor_us: Floor::new(),
            per_token_floor_us: Floor::new(),
            calls: VecDeque::new(),
            last_number: CallNumber::new(0),
        }
    }

    /// Records the start of a call of `size` expected tokens (zero for stages without tokens) and
    /// returns its number.
    pub fn begin(&mut self, now: Timestamp, size: TokenCount) -> CallNumber {
        self.last_number = CallNumber::new(self.last_number.get() + 1);
        let (number, tokens) = (self.last_number, TokenCount::default());
        self.calls.push_back(CallInFlight {
            number,
            started: now,
            first_token: None,
            size,
            tokens,
        });
        number
    }

    /// Records that a streamed call has delivered `tokens` tokens in total.
    pub fn progress(&mut self, now: Timestamp, number: CallNumber, tokens: TokenCount) {
        if let Some(call) = self.calls.iter_mut().find(|c| c.number == number) {
            call.first_token.get_or_insert(now);
            call.tokens = tokens;
        }
    }

    /// Records the outcome of a call and updates the pool estimate. A call that is not in flight is
    /// ignored.
    pub fn finish(
        &mut self,
        now: Timestamp,
        number: CallNumber,
        outcome: CallOutcome,
        pool: &mut PoolEstimate,
    ) {
        let Some(position) = self.calls.iter().position(|c| c.number == number) else { return };
        let Some(call) = self.calls.remove(position) else { return };
        self.decay_towards_pool(now, pool);
        match outcome {
            CallOutcome::Success(tokens) => {
                let (first, per_token) = self.split_latency(now, &call, tokens);
                self.record_parts(now, first, per_token, pool);
            }
            CallOutcome::Failure | CallOutcome::Abandoned => {
                self.record_lower_bound(now, &call, pool)
            }
        }
        if outcome != CallOutcome::Abandoned {
            let sample = f64::from(u8::from(outcome != CallOutcome::Failure));
            self.success.record(sample);
            pool.success.record(sample);
        }
    }

    /// Estimates the latency of a call of `size` tokens sent now.
    ///
    /// A call in flight that exceeds its expected latency raises the estimate in proportion.
    pub fn latency(&self, now: Timestamp, size: TokenCount, pool: &PoolEstimate) -> Latency {
        let confidence = self.confidence(now);
        let first = self.first_token_us.blended(&pool.first_token_us, confidence);
        let per_token = self.per_token_us.blended(&pool.per_token_us, confidence);
        let base = latency_of(&first, &per_token, size);
        let factor = self.slowdown(now, &first, &per_token);
        if factor <= 1.0 {
            return base;
        }
        Latency { mean: base.mean.mul_f64(factor), deviation: base.deviation.mul_f64(factor) }
    }

    /// Estimates the success rate of calls.
    pub fn success(&self, now: Timestamp, pool: &PoolEstimate) -> Share {
        Share::clamped(self.success.blended(&pool.success, self.confidence(now)).mean)
    }

    /// Returns the latency of a call of `size` tokens without load: the lesser of the processing time
    /// that the endpoint reported (without queueing) plus the network overhead, and the lowest recent
    /// mean. Zero if neither is known.
    ///
    /// The reported time is needed because a host that starts under load has never seen a low latency.
    pub fn unloaded_latency(&self, size: TokenCount, reported: Option<EngineTime>) -> Duration {
        let micros =
            self.first_token_floor_us.get() + self.per_token_floor_us.get() * size.get() as f64;
        let floor = Duration::from_micros(micros as u64);
        match reported.map(|t| Duration::from_micros(t.get()).saturating_add(NETWORK_OVERHEAD)) {
            Some(reported) if floor.is_zero() || reported < floor => reported,
            Some(_) | None => floor,
        }
    }

    /// Returns the number of calls of this host in flight.
    pub fn in_flight(&self) -> Slots {
        Slots::new(u32::try_from(self.calls.len()).unwrap_or(u32::MAX))
    }

    /// Returns the weight of the endpoint estimate relative to the pool estimate, from 0 to 1.
    fn confidence(&self, now: Timestamp) -> f64 {
        (-micros_since(now, self.updated) / micros(CONFIDENCE_HALF_LIFE)).exp2()
    }

    /// Blends the estimate with the pool estimate according to the time since the last answer.
    fn decay_towards_pool(&mut self, now: Timestamp, pool: &PoolEstimate) {
        let confidence = self.confidence(now);
        self.first_token_us = self.first_token_us.blended(&pool.first_token_us, confidence);
        self.per_token_us = self.per_token_us.blended(&pool.per_token_us, confidence);
        self.success = self.success.blended(&pool.success, confidence);
        self.updated = now;
    }

    /// Returns the factor by which the slowest call in flight exceeds its expected latency; at least
    /// 1.
    fn slowdown(&self, now: Timestamp, first: &MovingMean, per_token: &MovingMean) -> f64 {
        let factor = |call: &CallInFlight| {
            let due = call.due_tokens().get() as f64;
            let expected = (first.mean + per_token.mean * due).max(MIN_EXPECTED_US);
            micros_since(now, call.started) / expected
        };
        self.calls.iter().take(MAX_SCANNED_CALLS).map(factor).fold(1.0, f64::max)
    }

    /// Splits the latency of a call into the time to the first token and the time per token, in
    /// microseconds.
    fn split_latency(
        &self,
        now: Timestamp,
        call: &CallInFlight,
        tokens: TokenCount,
    ) -> (f64, Option<f64>) {
        let elapsed = micros_since(now, call.started);
        let count = tokens.get() as f64;
        if tokens.get() == 0 {
            return (elapsed, None);
        }
        if let (Some(first_token_at), true) = (call.first_token, tokens.get() > 1) {
            let first = micros_since(first_token_at, call.started);
            return (first, Some(micros_since(now, first_token_at) / (count - 1.0)));
        }
        // If the arrival of the first token is unknown, both parts are scaled by the same factor.
        let expected =
            (self.first_token_us.mean + self.per_token_us.mean * count).max(MIN_EXPECTED_US);
        let factor = elapsed / expected;
        (self.first_token_us.mean * factor, Some(self.per_token_us.mean * factor))
    }

    /// Records the two parts of the latency of a successful call, in microseconds.
    fn record_parts(
        &mut self,
        now: Timestamp,
        first: f64,
        per_token: Option<f64>,
        pool: &mut PoolEstimate,
    ) {
        self.first_token_us.record(first);
        self.first_token_floor_us.record(now, first);
        pool.first_token_us.record(first);
        if let Some(per_token) = per_token {
            self.per_token_us.record(per_token);
            self.per_token_floor_us.record(now, per_token);
            pool.per_token_us.record(per_token);
        }
    }

    /// Records the elapsed time of a call without an answer as a lower bound of its latency, if it
    /// exceeds the expected one.
    fn record_lower_bound(&mut self, now: Timestamp, call: &CallInFlight, pool: &PoolEstimate) {
        let elapsed = micros_since(now, call.started);
        let due = call.due_tokens().get() as f64;
        let first = self.first_token_us.blended(&pool.first_token_us, 1.0);
        let per_token = self.per_token_us.blended(&pool.per_token_us, 1.0);
        let factor = elapsed / (first.mean + per_token.mean * due).max(MIN_EXPECTED_US);
        if factor > 1.0 {
            self.first_token_us.record(first.mean * factor);
            self.per_token_us.record(per_token.mean * factor);
        }
    }
}
