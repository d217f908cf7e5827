use masticstair_core::catalog::BatchLimits;
use masticstair_core::prelude::*;
use std::time::Duration;

/// The weight of a new measurement in the pace.
const RELATIVE_LATENCY_WEIGHT: f64 = 0.3;

/// Bounds of the pace: the time of a call divided by that of the catalog.
const RELATIVE_LATENCY_RANGE: std::ops::RangeInclusive<f64> = 0.2..=12.0;

/// How long after its expected end a call counts as lost, in multiples of the expected time.
const TIMEOUT_FACTOR: f64 = 2.5;

/// What a call may take beyond that, for the network and the turn of an endpoint that has other callers.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(400);

/// How long room counts as taken by unknown results before it is tried again.
const REMOTE_RESULTS_TTL: Duration = Duration::from_millis(200);

/// The part of the room that is used: the sizes of results are approximate.
const USABLE_CAPACITY_FRACTION: f64 = 0.88;

/// The work of one endpoint of a stage service, as its caller knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointLoad {
    /// Calls that run now.
    pub in_flight: u32,
    /// Results that the endpoint keeps, as far as they were not given up.
    pub results_size: ByteCount,
    /// Room that is taken by results that this host does not know of, and until when that is assumed: a host
    /// that formed the calls before leaves results behind, and so does a call whose answer was lost.
    pub remote_results: (ByteCount, Timestamp),
    /// The endpoint gets no call before this time.
    pub backoff_until: Timestamp,
    /// Calls in a row that failed.
    pub consecutive_failures: u32,
    /// The time of a call divided by that of the catalog.
    relative_latency: f64,
}

impl Default for EndpointLoad {
    fn default() -> Self {
        Self {
            in_flight: 0,
            results_size: ByteCount::default(),
            remote_results: (ByteCount::default(), Timestamp::default()),
            backoff_until: Timestamp::default(),
            consecutive_failures: 0,
            relative_latency: 1.0,
        }
    }
}

impl EndpointLoad {
    /// Tells whether the endpoint can take a call now.
    pub fn is_free(&self, now: Timestamp, limits: &BatchLimits) -> bool {
        self.in_flight < limits.running.get().max(1) && now >= self.backoff_until
    }

    /// Returns the memory that is left for results, as far as this host knows.
    pub fn free_capacity(&self, now: Timestamp, limits: &BatchLimits) -> ByteCount {
        let (remote_results, until) = self.remote_results;
        let remote_results = if now < until { remote_results.get() } else { 0 };
        let occupied = self.results_size.get() + remote_results;
        let usable = (limits.result_room.get() as f64 * USABLE_CAPACITY_FRACTION) as u64;
        ByteCount::new(usable.saturating_sub(occupied))
    }

    /// Notes results that the endpoint keeps, or will.
    pub fn reserve_capacity(&mut self, size: ByteCount) {
        self.results_size = ByteCount::new(self.results_size.get() + size.get());
    }

    /// Notes results that the endpoint no longer keeps.
    pub fn release_capacity(&mut self, size: ByteCount) {
        self.results_size = ByteCount::new(self.results_size.get().saturating_sub(size.get()));
    }

    /// Notes that the endpoint had no room for a result.
    pub fn record_full(&mut self, now: Timestamp, limits: &BatchLimits) {
        let known = self.results_size.get();
        let remote_results = limits.result_room.get().saturating_sub(known);
        self.remote_results = (ByteCount::new(remote_results), now.plus(REMOTE_RESULTS_TTL));
    }

    /// Returns the expected time of a call.
    pub fn expected_call_time(&self, limits: &BatchLimits, items: usize) -> Duration {
        nominal_call_time(limits, items).mul_f64(self.relative_latency)
    }

    /// Returns how long a call may take before it counts as lost.
    pub fn call_timeout(&self, limits: &BatchLimits, items: usize) -> Duration {
        self.expected_call_time(limits, items).mul_f64(TIMEOUT_FACTOR) + TIMEOUT_MARGIN
    }

    /// Notes how long a call took.
    pub fn record_call(&mut self, limits: &BatchLimits, items: usize, took: Duration) {
        let nominal_call_time = nominal_call_time(limits, items).as_secs_f64().max(1e-3);
        let observed = took.as_secs_f64() / nominal_call_time;
        let relative_latency =
            self.relative_latency + RELATIVE_LATENCY_WEIGHT * (observed - self.relative_latency);
        self.relative_latency =
            relative_latency.clamp(*RELATIVE_LATENCY_RANGE.start(), *RELATIVE_LATENCY_RANGE.end());
        self.consecutive_failures = 0;
    }

    /// Notes a call that got no usable answer; the endpoint is left alone for a time that grows.
    pub fn record_failure(&mut self, now: Timestamp, base: Duration) {
        self.consecutive_failures += 1;
        let factor = 1_u32 << self.consecutive_failures.min(5).saturating_sub(1);
        self.backoff_until = now.plus(base * factor);
    }
}

fn nominal_call_time(limits: &BatchLimits, items: usize) -> Duration {
    limits.call.duration() + Duration::from_micros(limits.item_us) * items as u32
}
