use crate::fair_queue::WorkClass;
use masticstair_core::prelude::*;
use std::time::Duration;

/// The limit is adjusted once in this time.
const ADJUST_INTERVAL: Duration = Duration::from_millis(100);

/// The limit shrinks in proportion to this multiple of the unloaded latency over the observed one.
const TARGET_INFLATION: f64 = 1.1;

/// The limit grows by this multiple of its square root, so that small limits grow more than large ones
/// and hosts that share endpoints come to the same limit. With 0.5, hosts took longer to return to
/// normal after a burst; with 2.3, accounts beside a hot one were served less (`policy_bench`).
const GROWTH_PER_SQRT_LIMIT: f64 = 1.7;

/// The growth falls to zero from this distance to the greatest inflation on, so that a limit can shrink
/// to the least one.
const GROWTH_FADE_INFLATION: f64 = 2.0;

/// Below this multiple there is room, and the limit grows without regard to its size.
const UNCONGESTED_INFLATION: f64 = 1.21;

/// The growth in one interval while there is room; doubles the limit in less than a second, so that
/// the host is back to its usual limit within two seconds after a burst.
const UNCONGESTED_GROWTH_FACTOR: f64 = 1.1;

/// The part of the way to the wanted limit that is made during the latency of a call. The effect of a
/// change shows only after that time, and a faster change overshoots.
const ADJUST_GAIN: f64 = 0.5;

/// The least limit, so that latencies keep being observed.
const MIN_LIMIT: f64 = 4.0;

/// One call counts at most with this inflation, so that one broken endpoint does not decide.
const MAX_INFLATION: f64 = 5.0;

/// The part of a latency that is no queue in an endpoint: the timers of both ends, which tick at 1 ms, and
/// the wait for a thread of the host. Calls of 1 ms would otherwise always look queued, and the limit would
/// fall to its least value.
const LATENCY_SLACK: Duration = Duration::from_millis(2);

/// A limit that is used less than this is not raised, or it would not hold back the next burst.
const MIN_UTILISATION: f64 = 0.8;

/// An adjustment needs this many observations.
const MIN_OBSERVATIONS: u32 = 4;

/// The adaptive limit for requests that run on a host.
///
/// The limit follows the inflation of latencies over unloaded ones, like the delay-based congestion
/// control of TCP Vegas (Brakmo, Peterson 1995). Lookups have reserved slots beside it.
#[derive(Clone, Debug)]
pub struct HostLimit {
    /// Between `MIN_LIMIT` and `max`.
    limit: f64,
    max_limit: f64,
    /// Slots that only lookups use.
    reserved_lookup_slots: u32,
    /// By class.
    in_flight: [u32; 2],
    /// The most requests in flight since the last adjustment.
    peak_in_flight: u32,
    /// Sum of the latencies since the last adjustment. Sums weight a stage by its duration; with plain
    /// means, the short stages hide a queue at the long one.
    observed_s: f64,
    /// Sum of the latencies that the same calls would have had without load.
    unloaded_s: f64,
    /// The calls in `observed_s` and `unloaded_s`.
    observations: u32,
    adjusted_at: Timestamp,
}

impl HostLimit {
    /// Starts at `initial` slots, with `reserved_lookup_slots` ones for lookups beside them.
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

    /// Takes a slot for a request; false when none is free.
    pub fn try_acquire(&mut self, class: WorkClass) -> bool {
        let free = self.in_flight(class) < self.limit(class);
        if free {
            self.in_flight[class.index()] += 1;
            self.peak_in_flight = self.peak_in_flight.max(self.in_flight.iter().sum());
        }
        free
    }

    /// Gives back the slot of a request.
    pub fn release(&mut self, class: WorkClass) {
        let count = &mut self.in_flight[class.index()];
        *count = count.saturating_sub(1);
    }

    /// Returns how many requests of a class may run now.
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

    /// Returns how many requests of a class run.
    pub fn in_flight(&self, class: WorkClass) -> Slots {
        Slots::new(self.in_flight[class.index()])
    }

    /// Takes up the latency of a successful call and its latency without load (see
    /// `EndpointEstimate::unloaded_latency`); zero when that is not known.
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
