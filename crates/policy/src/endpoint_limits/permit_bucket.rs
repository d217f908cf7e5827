use masticstair_core::prelude::*;
use std::time::Duration;

/// Permits that may be given at once after a pause: this many, and those of this time.
const BURST_PERMITS: f64 = 2.0;
const BURST_TIME: Duration = Duration::from_millis(500);

/// The longest wait that is told; a limit of 0 gives no permits.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Permits to send requests to an endpoint (token bucket).
#[derive(Clone, Copy, Debug)]
pub(super) struct PermitBucket {
    pub(super) incarnation: Incarnation,
    permits: f64,
    updated: Timestamp,
}

impl PermitBucket {
    /// Creates an empty bucket: another host may have given permits until now.
    pub(super) fn new(now: Timestamp, incarnation: Incarnation) -> Self {
        Self { incarnation, permits: 0.0, updated: now }
    }

    /// Returns when the bucket was last asked for a permit.
    pub(super) fn updated(&self) -> Timestamp {
        self.updated
    }

    /// Takes a permit of an endpoint that names a limit, or returns the time until there is one.
    pub(super) fn take(&mut self, now: Timestamp, limit: RatePerSecond) -> Result<(), Duration> {
        let most = BURST_PERMITS + limit.get() * BURST_TIME.as_secs_f64();
        self.take_within(now, limit, most)
    }

    /// Takes a permit, or returns the time until there is one; `most` permits are kept for later.
    pub(super) fn take_within(
        &mut self,
        now: Timestamp,
        rate: RatePerSecond,
        most: f64,
    ) -> Result<(), Duration> {
        let rate = rate.get();
        let new = rate * now.since(self.updated).as_secs_f64();
        self.permits = (self.permits + new).min(most);
        self.updated = now;
        if self.permits >= 1.0 {
            self.permits -= 1.0;
            return Ok(());
        }
        let wait = Duration::try_from_secs_f64((1.0 - self.permits) / rate);
        Err(wait.unwrap_or(MAX_WAIT).min(MAX_WAIT))
    }
}
