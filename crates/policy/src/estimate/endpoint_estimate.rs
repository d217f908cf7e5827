use super::pool_estimate::latency_of;
use super::{
    CallInFlight, CallNumber, CallOutcome, Floor, Latency, MovingMean, PoolEstimate, Share, micros,
    micros_since,
};
use masticstair_core::prelude::*;
use std::collections::VecDeque;
use std::time::Duration;

/// After this time without an answer, an estimate counts for half and the pool's for the other half.
/// Shorter values send work to a slow endpoint too often; longer ones leave a recovered one idle.
const CONFIDENCE_HALF_LIFE: Duration = Duration::from_secs(10);

/// The time on the way that a call may take beside the time that its endpoint states. Without it, calls
/// of a few milliseconds always look as if they had waited.
const NETWORK_OVERHEAD: Duration = Duration::from_millis(5);

/// How many of the oldest calls in flight are looked at, which bounds the cost of an estimate.
const MAX_SCANNED_CALLS: usize = 8;

/// Work that took less than this many microseconds is not used as a divisor.
const MIN_EXPECTED_US: f64 = 100.0;

/// What a host knows about one endpoint and stage from its own calls.
#[derive(Clone, Debug)]
pub struct EndpointEstimate {
    first_token_us: MovingMean,
    per_token_us: MovingMean,
    success: MovingMean,
    /// When the last call ended.
    updated: Timestamp,
    /// The slow mean of the first token and of each further one at low load.
    first_token_floor_us: Floor,
    per_token_floor_us: Floor,
    /// Ordered by start.
    calls: VecDeque<CallInFlight>,
    /// The number of the latest call.
    last_number: CallNumber,
}

impl EndpointEstimate {
    /// Starts without calls; the pool's estimate holds until the first answer.
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

    /// Notes that a call of `size` tokens (zero for stages without tokens) is sent, and names it.
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

    /// Notes that a streamed call has delivered `tokens` tokens in total.
    pub fn progress(&mut self, now: Timestamp, number: CallNumber, tokens: TokenCount) {
        if let Some(call) = self.calls.iter_mut().find(|c| c.number == number) {
            call.first_token.get_or_insert(now);
            call.tokens = tokens;
        }
    }

    /// Notes the end of a call. A call that is not in flight is ignored.
    pub fn finish(
        &mut self,
        now: Timestamp,
        number: CallNumber,
        outcome: CallOutcome,
        pool: &mut PoolEstimate,
    ) {
        let Some(at) = self.calls.iter().position(|c| c.number == number) else { return };
        let Some(call) = self.calls.remove(at) else { return };
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

    /// Estimates a call of `size` tokens that would be sent now.
    ///
    /// Calls in flight that have taken longer than expected raise the estimate in proportion.
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

    /// Estimates the share of calls that succeed.
    pub fn success(&self, now: Timestamp, pool: &PoolEstimate) -> Share {
        Share::clamped(self.success.blended(&pool.success, self.confidence(now)).mean)
    }

    /// Returns the latency that a call of `size` tokens would have without load: the time that the
    /// endpoint says it worked on the call (without waiting) plus an overhead, or the lowest recent
    /// mean, whichever is less. Zero when neither is known.
    ///
    /// A host that starts under load has never seen a low latency, and the statement makes up for it.
    pub fn unloaded_latency(&self, size: TokenCount, reported: Option<EngineTime>) -> Duration {
        let micros =
            self.first_token_floor_us.get() + self.per_token_floor_us.get() * size.get() as f64;
        let floor = Duration::from_micros(micros as u64);
        match reported.map(|t| Duration::from_micros(t.get()).saturating_add(NETWORK_OVERHEAD)) {
            Some(reported) if floor.is_zero() || reported < floor => reported,
            Some(_) | None => floor,
        }
    }

    /// Returns the number of calls of this host that have not ended.
    pub fn in_flight(&self) -> Slots {
        Slots::new(u32::try_from(self.calls.len()).unwrap_or(u32::MAX))
    }

    /// Returns the weight of the own estimate against the pool's.
    fn confidence(&self, now: Timestamp) -> f64 {
        (-micros_since(now, self.updated) / micros(CONFIDENCE_HALF_LIFE)).exp2()
    }

    /// Moves the estimate towards the pool's by the time since the last answer.
    fn decay_towards_pool(&mut self, now: Timestamp, pool: &PoolEstimate) {
        let confidence = self.confidence(now);
        self.first_token_us = self.first_token_us.blended(&pool.first_token_us, confidence);
        self.per_token_us = self.per_token_us.blended(&pool.per_token_us, confidence);
        self.success = self.success.blended(&pool.success, confidence);
        self.updated = now;
    }

    /// Returns by which factor the slowest call in flight exceeds its expected time; at least 1.
    fn slowdown(&self, now: Timestamp, first: &MovingMean, per_token: &MovingMean) -> f64 {
        let factor = |call: &CallInFlight| {
            let due = call.due_tokens().get() as f64;
            let expected = (first.mean + per_token.mean * due).max(MIN_EXPECTED_US);
            micros_since(now, call.started) / expected
        };
        self.calls.iter().take(MAX_SCANNED_CALLS).map(factor).fold(1.0, f64::max)
    }

    /// Divides the time of a call into the first token and each further token, in microseconds.
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
        if let (Some(at), true) = (call.first_token, tokens.get() > 1) {
            let first = micros_since(at, call.started);
            return (first, Some(micros_since(now, at) / (count - 1.0)));
        }
        // Without the time of the first token, the known proportion of the parts is kept.
        let expected =
            (self.first_token_us.mean + self.per_token_us.mean * count).max(MIN_EXPECTED_US);
        let factor = elapsed / expected;
        (self.first_token_us.mean * factor, Some(self.per_token_us.mean * factor))
    }

    /// Takes up the parts of a call.
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

    /// Takes up the time of a call without an answer, if it was longer than expected.
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
