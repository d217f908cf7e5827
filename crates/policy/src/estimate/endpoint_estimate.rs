use super::pool_estimate::latency_of;
use super::{
    CallEnd, CallInFlight, CallNumber, Floor, Latency, MovingMean, PoolEstimate, Share, micros,
    micros_since,
};
use masticstair_core::prelude::*;
use std::collections::VecDeque;
use std::time::Duration;

/// After this time without an answer, an estimate counts for half and the pool's for the other half.
/// Shorter values send work to a slow endpoint too often; longer ones leave a recovered one idle.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// The time on the way that a call may take beside the time that its endpoint states. Without it, calls
/// of a few milliseconds always look as if they had waited.
const OVERHEAD: Duration = Duration::from_millis(5);

/// How many of the oldest calls in flight are looked at, which bounds the cost of an estimate.
const MAX_OLDEST: usize = 8;

/// Work that took less than this many microseconds is not used as a divisor.
const MIN_EXPECTED_US: f64 = 100.0;

/// What a host knows about one endpoint and stage from its own calls.
#[derive(Clone, Debug)]
pub struct EndpointEstimate {
    first: MovingMean,
    per_token: MovingMean,
    success: MovingMean,
    /// When the last call ended.
    updated: Timestamp,
    /// The slow mean of the first token and of each further one at low load.
    floor_first: Floor,
    floor_per_token: Floor,
    /// Ordered by start.
    calls: VecDeque<CallInFlight>,
    /// The number of the latest call.
    next: CallNumber,
}

impl EndpointEstimate {
    /// Starts without calls; the pool's estimate holds until the first answer.
    pub fn new(now: Timestamp) -> Self {
        let unknown = MovingMean::assumed(0.0, 0.0);
        Self {
            first: unknown,
            per_token: unknown,
            success: unknown,
            updated: now,
            floor_first: Floor::new(),
            floor_per_token: Floor::new(),
            calls: VecDeque::new(),
            next: CallNumber::new(0),
        }
    }

    /// Notes that a call of `size` tokens (zero for stages without tokens) is sent, and names it.
    pub fn begin(&mut self, now: Timestamp, size: TokenCount) -> CallNumber {
        self.next = CallNumber::new(self.next.get() + 1);
        let (number, tokens) = (self.next, TokenCount::default());
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
        end: CallEnd,
        pool: &mut PoolEstimate,
    ) {
        let Some(at) = self.calls.iter().position(|c| c.number == number) else { return };
        let Some(call) = self.calls.remove(at) else { return };
        self.forget_partly(now, pool);
        match end {
            CallEnd::Success(tokens) => {
                let (first, per_token) = self.split(now, &call, tokens);
                self.observe(now, first, per_token, pool);
            }
            CallEnd::Failure | CallEnd::Abandoned => self.observe_lower_bound(now, &call, pool),
        }
        if end != CallEnd::Abandoned {
            let sample = f64::from(u8::from(end != CallEnd::Failure));
            self.success.observe(sample);
            pool.success.observe(sample);
        }
    }

    /// Estimates a call of `size` tokens that would be sent now.
    ///
    /// Calls in flight that have taken longer than expected raise the estimate in proportion.
    pub fn latency(&self, now: Timestamp, size: TokenCount, pool: &PoolEstimate) -> Latency {
        let confidence = self.confidence(now);
        let first = self.first.blended(&pool.first, confidence);
        let per_token = self.per_token.blended(&pool.per_token, confidence);
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
    pub fn unloaded(&self, size: TokenCount, stated: Option<EngineTime>) -> Duration {
        let micros = self.floor_first.get() + self.floor_per_token.get() * size.get() as f64;
        let floor = Duration::from_micros(micros as u64);
        match stated.map(|t| Duration::from_micros(t.get()).saturating_add(OVERHEAD)) {
            Some(stated) if floor.is_zero() || stated < floor => stated,
            Some(_) | None => floor,
        }
    }

    /// Returns the number of calls of this host that have not ended.
    pub fn in_flight(&self) -> Slots {
        Slots::new(u32::try_from(self.calls.len()).unwrap_or(u32::MAX))
    }

    /// Returns the weight of the own estimate against the pool's.
    fn confidence(&self, now: Timestamp) -> f64 {
        (-micros_since(now, self.updated) / micros(HALF_LIFE)).exp2()
    }

    /// Moves the estimate towards the pool's by the time since the last answer.
    fn forget_partly(&mut self, now: Timestamp, pool: &PoolEstimate) {
        let confidence = self.confidence(now);
        self.first = self.first.blended(&pool.first, confidence);
        self.per_token = self.per_token.blended(&pool.per_token, confidence);
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
        self.calls.iter().take(MAX_OLDEST).map(factor).fold(1.0, f64::max)
    }

    /// Divides the time of a call into the first token and each further token, in microseconds.
    fn split(&self, now: Timestamp, call: &CallInFlight, tokens: TokenCount) -> (f64, Option<f64>) {
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
        let expected = (self.first.mean + self.per_token.mean * count).max(MIN_EXPECTED_US);
        let factor = elapsed / expected;
        (self.first.mean * factor, Some(self.per_token.mean * factor))
    }

    /// Takes up the parts of a call.
    fn observe(
        &mut self,
        now: Timestamp,
        first: f64,
        per_token: Option<f64>,
        pool: &mut PoolEstimate,
    ) {
        self.first.observe(first);
        self.floor_first.observe(now, first);
        pool.first.observe(first);
        if let Some(per_token) = per_token {
            self.per_token.observe(per_token);
            self.floor_per_token.observe(now, per_token);
            pool.per_token.observe(per_token);
        }
    }

    /// Takes up the time of a call without an answer, if it was longer than expected.
    fn observe_lower_bound(&mut self, now: Timestamp, call: &CallInFlight, pool: &PoolEstimate) {
        let elapsed = micros_since(now, call.started);
        let due = call.due_tokens().get() as f64;
        let first = self.first.blended(&pool.first, 1.0);
        let per_token = self.per_token.blended(&pool.per_token, 1.0);
        let factor = elapsed / (first.mean + per_token.mean * due).max(MIN_EXPECTED_US);
        if factor > 1.0 {
            self.first.observe(first.mean * factor);
            self.per_token.observe(per_token.mean * factor);
        }
    }
}
