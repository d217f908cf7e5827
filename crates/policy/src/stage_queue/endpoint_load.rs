use masticstair_core::catalog::BatchLimits;
use masticstair_core::prelude::*;
use smallvec::SmallVec;
use std::time::Duration;

/// The weight of a new measurement in the smoothed relative latency.
const RELATIVE_LATENCY_WEIGHT: f64 = 0.3;

/// Bounds of the relative latency.
const RELATIVE_LATENCY_RANGE: std::ops::RangeInclusive<f64> = 0.2..=12.0;

/// The timeout of a call in multiples of its expected time.
const TIMEOUT_FACTOR: f64 = 2.5;

/// Added to the timeout for the network and for queueing behind other callers of the endpoint.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(400);

/// How long capacity counts as occupied by untracked results before it is tried again.
const UNTRACKED_RESULTS_TTL: Duration = Duration::from_millis(200);

/// The fraction of the capacity that is used, because the sizes of results are approximate.
const USABLE_CAPACITY_FRACTION: f64 = 0.88;

/// The load of one endpoint of a stage service, as known to the host that calls it.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointLoad {
    /// Calls of this host that the endpoint has not answered.
    pub in_flight: u32,
    /// When the calls in flight are expected to have ended.
    pub busy_until: Timestamp,
    /// The size of the unreleased results of this host on the endpoint, including those of calls in flight.
    pub results_size: ByteCount,
    /// Capacity that is occupied by results unknown to this host, and until when that is assumed. Such results
    /// remain from another host that called the endpoint before, and from calls whose answer was lost.
    pub untracked_results: (ByteCount, Timestamp),
    /// The size of the results of each call whose outcome is unknown, and when they expire. Such results cannot be
    /// released, because their handles are unknown.
    lost_results: SmallVec<[(ByteCount, Timestamp); 2]>,
    /// The end of the backoff; the endpoint gets no call before.
    pub backoff_until: Timestamp,
    /// Failed calls since the last answer.
    pub consecutive_failures: u32,
    /// The smoothed call time divided by the nominal call time of the catalog.
    relative_latency: f64,
}

impl Default for EndpointLoad {
    fn default() -> Self {
        Self {
            in_flight: 0,
            busy_until: Timestamp::default(),
            results_size: ByteCount::default(),
            untracked_results: (ByteCount::default(), Timestamp::default()),
            lost_results: SmallVec::new(),
            backoff_until: Timestamp::default(),
            consecutive_failures: 0,
            relative_latency: 1.0,
        }
    }
}

impl EndpointLoad {
    /// Returns whether the endpoint can take a call now.
    pub fn is_free(&self, now: Timestamp, limits: &BatchLimits) -> bool {
        self.in_flight < limits.running.get().max(1) && now >= self.backoff_until
    }

    /// Returns when the endpoint is expected to take another call; not before `now`.
    pub fn free_at(&self, now: Timestamp, limits: &BatchLimits) -> Timestamp {
        let is_busy = self.in_flight >= limits.running.get().max(1);
        let busy_until = if is_busy { self.busy_until } else { now };
        busy_until.max(self.backoff_until).max(now)
    }

    /// Returns the capacity that is left for results, as far as this host knows.
    pub fn free_capacity(&self, now: Timestamp, limits: &BatchLimits) -> ByteCount {
        let (untracked_results, until) = self.untracked_results;
        let untracked_results = if now < until { untracked_results.get() } else { 0 };
        let lost = self.lost_results.iter().filter(|(_, until)| now < *until);
        let lost: u64 = lost.map(|(size, _)| size.get()).sum();
        let occupied = self.results_size.get() + untracked_results.max(lost);
        let usable = (limits.result_capacity.get() as f64 * USABLE_CAPACITY_FRACTION) as u64;
        ByteCount::new(usable.saturating_sub(occupied))
    }

    /// Reserves capacity for results that the endpoint retains or will produce.
    pub fn reserve_capacity(&mut self, size: ByteCount) {
        self.results_size = ByteCount::new(self.results_size.get() + size.get());
    }

    /// Releases the capacity of results that the endpoint no longer retains.
    pub fn release_capacity(&mut self, size: ByteCount) {
        self.results_size = ByteCount::new(self.results_size.get().saturating_sub(size.get()));
    }

    /// Records that the endpoint had no capacity for a result.
    pub fn record_full(&mut self, now: Timestamp, limits: &BatchLimits) {
        let known = self.results_size.get();
        let untracked_results = limits.result_capacity.get().saturating_sub(known);
        self.untracked_results =
            (ByteCount::new(untracked_results), now.plus(UNTRACKED_RESULTS_TTL));
    }

    /// Records a call whose outcome is unknown. If the endpoint completed it, results of `size` stay until they expire.
    pub fn record_lost(&mut self, now: Timestamp, size: ByteCount, limits: &BatchLimits) {
        self.lost_results.retain(|(_, until)| now < *until);
        self.lost_results.push((size, now.plus(limits.result_ttl.duration())));
    }

    /// Returns the expected duration of a call: its nominal time times the relative latency.
    pub fn expected_call_time(&self, limits: &BatchLimits, items: usize) -> Duration {
        nominal_call_time(limits, items).mul_f64(self.relative_latency)
    }

    /// Returns how long a call may run before it counts as failed.
    pub fn call_timeout(&self, limits: &BatchLimits, items: usize) -> Duration {
        self.expected_call_time(limits, items).mul_f64(TIMEOUT_FACTOR) + TIMEOUT_MARGIN
    }

    /// Records the duration of a completed call and resets the count of failures.
    pub fn record_call(&mut self, limits: &BatchLimits, items: usize, duration: Duration) {
        let nominal_call_time = nominal_call_time(limits, items).as_secs_f64().max(1e-3);
        let observed = duration.as_secs_f64() / nominal_call_time;
        let relative_latency =
            self.relative_latency + RELATIVE_LATENCY_WEIGHT * (observed - self.relative_latency);
        self.relative_latency =
            relative_latency.clamp(*RELATIVE_LATENCY_RANGE.start(), *RELATIVE_LATENCY_RANGE.end());
        self.consecutive_failures = 0;
    }

    /// Records a call without a usable answer. The backoff is `base`, doubled with each consecutive failure up
    /// to 16 times `base`.
    pub fn record_failure(&mut self, now: Timestamp, base: Duration) {
        self.consecutive_failures += 1;
        let factor = 1_u32 << self.consecutive_failures.min(5).saturating_sub(1);
        self.backoff_until = now.plus(base * factor);
    }
}

fn nominal_call_time(limits: &BatchLimits, items: usize) -> Duration {
    limits.call_overhead.duration() + Duration::from_micros(limits.item_us) * items as u32
}
