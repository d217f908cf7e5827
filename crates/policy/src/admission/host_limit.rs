use crate::fair_queue::WorkClass;
use masticstair_core::prelude::*;
use std::time::Duration;

/// The limit is adjusted once in this time.
const INTERVAL: Duration = Duration::from_millis(100);

/// Latencies above this multiple of the floor mean that calls wait inside the endpoints.
const TARGET_INFLATION: f64 = 2.0;

/// The limit falls at most to this part of itself in one interval.
const MAX_DECREASE: f64 = 0.8;

/// The growth in one interval; doubles the limit in less than a second, so that the host is back to
/// its usual limit within two seconds after a burst.
const INCREASE: f64 = 1.1;

/// The least limit, so that latencies keep being observed.
const MIN_LIMIT: f64 = 4.0;

/// One observation counts at most as this inflation, so that one broken endpoint does not decide.
const MAX_INFLATION: f64 = 5.0;

/// An adjustment needs this many observations.
const MIN_OBSERVATIONS: u32 = 4;

/// The adaptive limit for requests that run on a host.
///
/// The limit follows the inflation of latencies over their floor, like the delay-based congestion
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
    /// The sum and number of inflations since the last adjustment.
    inflation: (f64, u32),
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
            inflation: (0.0, 0),
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

    /// Takes up the latency of a successful call and the floor for its endpoint and size (see
    /// `EndpointEstimate::floor`).
    pub fn observe(&mut self, now: Timestamp, latency: Duration, floor: Duration) {
        if !floor.is_zero() {
            let inflation = latency.as_secs_f64() / floor.as_secs_f64();
            self.inflation.0 += inflation.clamp(1.0, MAX_INFLATION);
            self.inflation.1 += 1;
        }
        if now.since(self.adjusted) >= INTERVAL && self.inflation.1 >= MIN_OBSERVATIONS {
            self.adjust(now);
        }
    }

    fn adjust(&mut self, now: Timestamp) {
        let inflation = self.inflation.0 / f64::from(self.inflation.1);
        if inflation > TARGET_INFLATION {
            self.limit *= (TARGET_INFLATION / inflation).max(MAX_DECREASE);
        } else if f64::from(self.peak) >= self.limit * 0.8 {
            // A limit that is not used must not grow, or it would not hold back the next burst.
            self.limit = (self.limit * INCREASE).max(self.limit + 1.0);
        }
        self.limit = self.limit.clamp(MIN_LIMIT, self.max);
        self.peak = self.in_flight.iter().sum();
        self.inflation = (0.0, 0);
        self.adjusted = now;
    }
}
