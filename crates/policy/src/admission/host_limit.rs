use crate::fair_queue::WorkClass;
use masticstair_core::prelude::*;
use std::time::Duration;

/// Minimum time between two adjustments of the limit.
const ADJUST_INTERVAL: Duration = Duration::from_millis(100);

/// Target ratio of observed to unloaded latency; above it, the limit shrinks in proportion.
const TARGET_INFLATION: f64 = 1.1;

/// Growth per adjustment as a multiple of the square root of the limit. Small limits grow relatively
/// faster than large ones, so hosts that share endpoints converge to the same limit. With 0.5, hosts
/// took longer to return to normal after a burst; with 2.3, accounts beside a hot one were served less
/// (`policy_bench`).
const GROWTH_PER_SQRT_LIMIT: f64 = 1.7;

/// Distance below `MAX_INFLATION` within which the growth fades linearly to zero, so that the limit
/// can shrink to `MIN_LIMIT`.
const GROWTH_FADE_INFLATION: f64 = 2.0;

/// Up to this inflation the endpoints have free capacity, and the limit grows by a constant factor.
const UNCONGESTED_INFLATION: f64 = 1.21;

/// Growth factor per adjustment without congestion. It doubles the limit in less than a second, so
/// that a host reaches its usual limit within two seconds after a burst.
const UNCONGESTED_GROWTH_FACTOR: f64 = 1.1;

/// Share of the distance to the target limit covered per call latency. A change takes one call latency
/// to show an effect; faster adjustment overshoots.
const ADJUST_GAIN: f64 = 0.5;

/// Lower bound of the limit, so that latency samples keep arriving.
const MIN_LIMIT: f64 = 4.0;

/// Cap on the inflation of a single call, so that one broken endpoint does not dominate.
const MAX_INFLATION: f64 = 5.0;

/// Latency that is not caused by queueing in an endpoint: the 1 ms timer resolution of both ends and
/// thread scheduling on the host. Without it, calls of 1 ms always look queued and the limit falls to
/// `MIN_LIMIT`.
const LATENCY_SLACK: Duration = Duration::from_millis(2);

/// The limit is raised only at or above this utilisation; an unused limit would grow until it no
/// longer restrains the next burst.
const MIN_UTILISATION: f64 = 0.8;

/// Minimum number of latency samples per adjustment.
const MIN_OBSERVATIONS: u32 = 4;

/// Adaptive concurrency limit of a host.
///
/// The limit follows the latency inflation (observed over unloaded latency), like the delay-based
/// congestion control of TCP Vegas (Brakmo, Peterson 1995). Lookups have reserved slots in addition.
#[derive(Clone, Debug)]
pub struct HostLimit {
    /// Current limit, from `MIN_LIMIT` to `max_limit`.
    limit: f64,
    max_limit: f64,
    /// Additional slots that only lookups can use.
    reserved_lookup_slots: u32,
    /// Running requests, by class.
    in_flight: [u32; 2],
    /// Maximum number of requests in flight since the last adjustment.
    peak_in_flight: u32,
    /// Sum of the latencies since the last adjustment. A sum weights stages by their duration; in an
    /// average of ratios, the short stages would hide a queue at the long one.
    observed_s: f64,
    /// Sum of the unloaded latencies of the same calls.
    unloaded_s: f64,
    /// Number of calls in `observed_s` and `unloaded_s`.
    observations: u32,
    adjusted_at: Timestamp,
}

impl HostLimit {
    /// Creates a limit of `initial` slots plus `reserved_lookup_slots` slots that only lookups can
    /// use.
    pub fn new(now: Timestamp, initial: Slots, max: Slots, reserved_lookup_slots: Slots) -> Self {
        let max_limit = f64::from(max.get()).max(MIN_LIMIT);
        Self {
            limit: f64::from(initial.get()).clamp(MIN_LIMIT, max_limit),
            max_limit,
            reserved_lookup_slots: reserved_lookup_slots.get(),
            in_flight: [0; 2],
            peak_in_flight: 0,
            observed_s: 0.0,
            unloaded_s: 0.0,
            observations: 0,
            adjusted_at: now,
        }
    }

    /// Acquires a slot for a request; returns false if none is free.
    pub fn try_acquire(&mut self, class: WorkClass) -> bool {
        let free = self.in_flight(class) < self.limit(class);
        if free {
            self.in_flight[class.index()] += 1;
            self.peak_in_flight = self.peak_in_flight.max(self.in_flight.iter().sum());
        }
        free
    }

    /// Releases the slot of a request.
    pub fn release(&mut self, class: WorkClass) {
        let count = &mut self.in_flight[class.index()];
        *count = count.saturating_sub(1);
    }

    /// Returns how many requests of a class may run at the moment.
    pub fn limit(&self, class: WorkClass) -> Slots {
        let limit = self.limit as u32;
        let [lookups, work] = self.in_flight;
        Slots::new(match class {
            WorkClass::Work => {
                limit.saturating_sub(lookups.saturating_sub(self.reserved_lookup_slots))
            }
            WorkClass::Lookup => self.reserved_lookup_slots + limit.saturating_sub(work),
        })
    }

    /// Returns the number of running requests of a class.
    pub fn in_flight(&self, class: WorkClass) -> Slots {
        Slots::new(self.in_flight[class.index()])
    }

    /// Records the latency of a successful call and adjusts the limit when an interval has passed.
    ///
    /// `unloaded` is the latency of the call without load (see `EndpointEstimate::unloaded_latency`);
    /// a call with zero, which means unknown, is not counted.
    pub fn record_latency(&mut self, now: Timestamp, latency: Duration, unloaded: Duration) {
        if !unloaded.is_zero() {
            let unloaded = unloaded.as_secs_f64();
            let latency = latency.saturating_sub(LATENCY_SLACK);
            self.observed_s += latency.as_secs_f64().clamp(unloaded, unloaded * MAX_INFLATION);
            self.unloaded_s += unloaded;
            self.observations += 1;
        }
        if now.since(self.adjusted_at) >= ADJUST_INTERVAL && self.observations >= MIN_OBSERVATIONS {
            self.adjust(now);
        }
    }

    fn adjust(&mut self, now: Timestamp) {
        let inflation = self.observed_s / self.unloaded_s;
        let latency = self.observed_s / f64::from(self.observations);
        let used = f64::from(self.peak_in_flight) >= self.limit * MIN_UTILISATION;
        let growth_scale = ((MAX_INFLATION - inflation) / GROWTH_FADE_INFLATION).min(1.0);
        let growth = GROWTH_PER_SQRT_LIMIT * growth_scale * self.limit.sqrt();
        let target = self.limit * (TARGET_INFLATION / inflation).min(1.0) + growth;
        let elapsed = now.since(self.adjusted_at).as_secs_f64();
        let step = ADJUST_GAIN * (elapsed / latency).min(1.0);
        let next = if inflation <= UNCONGESTED_INFLATION {
            self.limit * UNCONGESTED_GROWTH_FACTOR
        } else {
            self.limit + (target - self.limit) * step
        };
        if used || next < self.limit {
            self.limit = next.clamp(MIN_LIMIT, self.max_limit);
        }
        self.peak_in_flight = self.in_flight.iter().sum();
        self.observed_s = 0.0;
        self.unloaded_s = 0.0;
        self.observations = 0;
        self.adjusted_at = now;
    }
}
