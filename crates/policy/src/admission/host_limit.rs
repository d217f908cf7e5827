use crate::fair_queue::WorkClass;
use masticstair_core::prelude::*;
use std::time::Duration;

/// The limit is adjusted once in this time.
const INTERVAL: Duration = Duration::from_millis(100);

/// The limit shrinks in proportion to this multiple of the unloaded latency over the observed one.
const TARGET_INFLATION: f64 = 1.1;

/// The limit grows by this multiple of its square root, so that small limits grow more than large ones
/// and hosts that share endpoints come to the same limit. With 0.5, hosts took longer to return to
/// normal after a burst; with 2.3, accounts beside a hot one were served less (`policy_bench`).
const ALLOWANCE: f64 = 1.7;

/// The growth falls to zero from this distance to the greatest inflation on, so that a limit can shrink
/// to the least one.
const ALLOWANCE_FADE: f64 = 2.0;

/// Below this multiple there is room, and the limit grows without regard to its size.
const LOW_INFLATION: f64 = 1.21;

/// The growth in one interval while there is room; doubles the limit in less than a second, so that
/// the host is back to its usual limit within two seconds after a burst.
const INCREASE: f64 = 1.1;

/// The part of the way to the wanted limit that is made during the latency of a call. The effect of a
/// change shows only after that time, and a faster change overshoots.
const GAIN: f64 = 0.5;

/// The least limit, so that latencies keep being observed.
const MIN_LIMIT: f64 = 4.0;

/// One call counts at most with this inflation, so that one broken endpoint does not decide.
const MAX_INFLATION: f64 = 5.0;

/// The part of a latency that is no queue in an endpoint: the timers of both ends, which tick at 1 ms, and
/// the wait for a thread of the host. Calls of 1 ms would otherwise always look queued, and the limit would
/// fall to its least value.
const SLACK: Duration = Duration::from_millis(2);

/// A limit that is used less than this is not raised, or it would not hold back the next burst.
const USED: f64 = 0.8;

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
    max: f64,
    /// Slots that only lookups use.
    reserved: u32,
    /// By class.
    in_flight: [u32; 2],
    /// The most requests in flight since the last adjustment.
    peak: u32,
    /// Seconds that calls have taken since the last adjustment, and would have taken unloaded. Sums, so
    /// that a stage counts by its time: the short stages hide a queue at the long one otherwise.
    seconds: (f64, f64),
    /// The calls in `seconds`.
    observations: u32,
    adjusted: Timestamp,
}

impl HostLimit {
    /// Starts at `initial` slots, with `reserved` ones for lookups beside them.
    pub fn new(now: Timestamp, initial: Slots, max: Slots, reserved: Slots) -> Self {
        let max = f64::from(max.get()).max(MIN_LIMIT);
        Self {
            limit: f64::from(initial.get()).clamp(MIN_LIMIT, max),
            max,
            reserved: reserved.get(),
            in_flight: [0; 2],
            peak: 0,
            seconds: (0.0, 0.0),
            observations: 0,
            adjusted: now,
        }
    }

    /// Takes a slot for a request; false when none is free.
    pub fn try_start(&mut self, class: WorkClass) -> bool {
        let free = self.in_flight(class) < self.limit(class);
        if free {
            self.in_flight[class.index()] += 1;
            self.peak = self.peak.max(self.in_flight.iter().sum());
        }
        free
    }

    /// Gives back the slot of a request.
    pub fn end(&mut self, class: WorkClass) {
        let count = &mut self.in_flight[class.index()];
        *count = count.saturating_sub(1);
    }

    /// Returns how many requests of a class may run now.
    pub fn limit(&self, class: WorkClass) -> Slots {
        let limit = self.limit as u32;
        let [lookups, work] = self.in_flight;
        Slots::new(match class {
            WorkClass::Work => limit.saturating_sub(lookups.saturating_sub(self.reserved)),
            WorkClass::Lookup => self.reserved + limit.saturating_sub(work),
        })
    }

    /// Returns how many requests of a class run.
    pub fn in_flight(&self, class: WorkClass) -> Slots {
        Slots::new(self.in_flight[class.index()])
    }

    /// Takes up the latency of a successful call and its latency without load (see
    /// `EndpointEstimate::unloaded`); zero when that is not known.
    pub fn observe(&mut self, now: Timestamp, latency: Duration, unloaded: Duration) {
        if !unloaded.is_zero() {
            let unloaded = unloaded.as_secs_f64();
            let latency = latency.saturating_sub(SLACK);
            self.seconds.0 += latency.as_secs_f64().clamp(unloaded, unloaded * MAX_INFLATION);
            self.seconds.1 += unloaded;
            self.observations += 1;
        }
        if now.since(self.adjusted) >= INTERVAL && self.observations >= MIN_OBSERVATIONS {
            self.adjust(now);
        }
    }

    fn adjust(&mut self, now: Timestamp) {
        let inflation = self.seconds.0 / self.seconds.1;
        let latency = self.seconds.0 / f64::from(self.observations);
        let used = f64::from(self.peak) >= self.limit * USED;
        let fade = ((MAX_INFLATION - inflation) / ALLOWANCE_FADE).min(1.0);
        let allowance = ALLOWANCE * fade * self.limit.sqrt();
        let wanted = self.limit * (TARGET_INFLATION / inflation).min(1.0) + allowance;
        let passed = now.since(self.adjusted).as_secs_f64();
        let step = GAIN * (passed / latency).min(1.0);
        let next = if inflation <= LOW_INFLATION {
            self.limit * INCREASE
        } else {
            self.limit + (wanted - self.limit) * step
        };
        if used || next < self.limit {
            self.limit = next.clamp(MIN_LIMIT, self.max);
        }
        self.peak = self.in_flight.iter().sum();
        self.seconds = (0.0, 0.0);
        self.observations = 0;
        self.adjusted = now;
    }
}
