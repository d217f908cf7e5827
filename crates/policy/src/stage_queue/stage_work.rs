use masticstair_core::catalog::BatchLimits;
use masticstair_core::prelude::*;
use std::time::Duration;

/// The weight of a new measurement in the pace.
const PACE_WEIGHT: f64 = 0.3;

/// Bounds of the pace: the time of a call divided by that of the catalog.
const PACE_RANGE: std::ops::RangeInclusive<f64> = 0.2..=12.0;

/// How long after its expected end a call counts as lost, in multiples of the expected time.
const LOST_FACTOR: f64 = 2.5;

/// What a call may take beyond that, for the network and the turn of an endpoint that has other callers.
const LOST_MARGIN: Duration = Duration::from_millis(400);

/// How long room counts as taken by unknown results before it is tried again.
const FOREIGN_RESULTS: Duration = Duration::from_millis(200);

/// The part of the room that is used: the sizes of results are approximate.
const USED_ROOM: f64 = 0.88;

/// The work of one endpoint of a stage service, as its caller knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct StageWork {
    /// Calls that run now.
    pub calls: u32,
    /// Results that the endpoint keeps, as far as they were not given up.
    pub results: ByteCount,
    /// Room that is taken by results that this host does not know of, and until when that is assumed: a host
    /// that formed the calls before leaves results behind, and so does a call whose answer was lost.
    pub foreign: (ByteCount, Timestamp),
    /// The endpoint gets no call before this time.
    pub avoid_until: Timestamp,
    /// Calls in a row that failed.
    pub failures: u32,
    /// The time of a call divided by that of the catalog.
    pace: f64,
}

impl Default for StageWork {
    fn default() -> Self {
        Self {
            calls: 0,
            results: ByteCount::default(),
            foreign: (ByteCount::default(), Timestamp::default()),
            avoid_until: Timestamp::default(),
            failures: 0,
            pace: 1.0,
        }
    }
}

impl StageWork {
    /// Tells whether the endpoint can take a call now.
    pub fn is_free(&self, now: Timestamp, limits: &BatchLimits) -> bool {
        self.calls < limits.running.get().max(1) && now >= self.avoid_until
    }

    /// Returns the memory that is left for results, as far as this host knows.
    pub fn room(&self, now: Timestamp, limits: &BatchLimits) -> ByteCount {
        let (foreign, until) = self.foreign;
        let foreign = if now < until { foreign.get() } else { 0 };
        let taken = self.results.get() + foreign;
        let usable = (limits.result_room.get() as f64 * USED_ROOM) as u64;
        ByteCount::new(usable.saturating_sub(taken))
    }

    /// Notes results that the endpoint keeps, or will.
    pub fn take_room(&mut self, size: ByteCount) {
        self.results = ByteCount::new(self.results.get() + size.get());
    }

    /// Notes results that the endpoint no longer keeps.
    pub fn give_room(&mut self, size: ByteCount) {
        self.results = ByteCount::new(self.results.get().saturating_sub(size.get()));
    }

    /// Notes that the endpoint had no room for a result.
    pub fn note_no_room(&mut self, now: Timestamp, limits: &BatchLimits) {
        let known = self.results.get();
        let foreign = limits.result_room.get().saturating_sub(known);
        self.foreign = (ByteCount::new(foreign), now.plus(FOREIGN_RESULTS));
    }

    /// Returns the expected time of a call.
    pub fn expected(&self, limits: &BatchLimits, items: usize) -> Duration {
        nominal(limits, items).mul_f64(self.pace)
    }

    /// Returns how long a call may take before it counts as lost.
    pub fn patience(&self, limits: &BatchLimits, items: usize) -> Duration {
        self.expected(limits, items).mul_f64(LOST_FACTOR) + LOST_MARGIN
    }

    /// Notes how long a call took.
    pub fn note_call(&mut self, limits: &BatchLimits, items: usize, took: Duration) {
        let nominal = nominal(limits, items).as_secs_f64().max(1e-3);
        let seen = took.as_secs_f64() / nominal;
        let pace = self.pace + PACE_WEIGHT * (seen - self.pace);
        self.pace = pace.clamp(*PACE_RANGE.start(), *PACE_RANGE.end());
        self.failures = 0;
    }

    /// Notes a call that got no usable answer; the endpoint is left alone for a time that grows.
    pub fn note_failure(&mut self, now: Timestamp, base: Duration) {
        self.failures += 1;
        let factor = 1_u32 << self.failures.min(5).saturating_sub(1);
        self.avoid_until = now.plus(base * factor);
    }
}

fn nominal(limits: &BatchLimits, items: usize) -> Duration {
    limits.call.duration() + Duration::from_micros(limits.item_us) * items as u32
}
