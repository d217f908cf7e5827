use super::{BreakerState, BreakerStatus, PoolHealth, Window};
use crate::estimate::Share;
use masticstair_core::prelude::*;
use std::time::Duration;

/// Number of consecutive failures that eject an endpoint, so that an outage costs a few calls and not
/// a whole window.
const CONSECUTIVE_FAILURES: u32 = 3;

/// Minimum number of calls in the window before a majority of failures can eject an endpoint.
const MIN_CALLS: u32 = 8;

/// Time from an ejection to the first probe.
const FIRST_OPEN_TIME: Duration = Duration::from_secs(1);

/// Maximum time to the next probe; the time doubles with each failed probe.
const MAX_OPEN_TIME: Duration = Duration::from_secs(8);

/// Time after which a probe without a result is abandoned and another one is allowed.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// Share of the usual traffic that an endpoint gets after a successful probe.
const FIRST_RECOVERY_SHARE: f64 = 1.0 / 8.0;

/// Time after which the traffic share of a recovering endpoint doubles.
const RECOVERY_STEP: Duration = Duration::from_millis(500);

/// Circuit breaker for one endpoint, local to one host.
#[derive(Clone, Debug)]
pub struct CircuitBreaker {
    state: BreakerState,
    /// Number of failures since the last success.
    consecutive_failures: u32,
    /// Ejections since the breaker was last closed; each one doubles the time to the next probe.
    ejections: u32,
    window: Window,
}

impl CircuitBreaker {
    /// Creates a closed circuit breaker.
    pub fn new() -> Self {
        let (consecutive_failures, ejections) = (0, 0);
        Self {
            state: BreakerState::Closed,
            consecutive_failures,
            ejections,
            window: Window::default(),
        }
    }

    /// Returns which calls are allowed at `now`.
    pub fn status(&self, now: Timestamp) -> BreakerStatus {
        match self.state {
            BreakerState::Closed => BreakerStatus::Closed,
            BreakerState::Open(until) | BreakerState::HalfOpen(until) if now < until => {
                BreakerStatus::Ejected
            }
            BreakerState::Open(_) | BreakerState::HalfOpen(_) => BreakerStatus::ProbeDue,
            BreakerState::Recovering(since) => recovery_status(now, since),
        }
    }

    /// Returns whether the endpoint is ejected, including while a probe is in flight.
    pub fn is_ejected(&self) -> bool {
        matches!(self.state, BreakerState::Open(_) | BreakerState::HalfOpen(_))
    }

    /// Reserves the probe for the caller; returns false if no probe is due or another caller has
    /// reserved it.
    pub fn begin_probe(&mut self, now: Timestamp) -> bool {
        let due = self.status(now) == BreakerStatus::ProbeDue;
        if due {
            self.state = BreakerState::HalfOpen(now.plus(PROBE_TIMEOUT));
        }
        due
    }

    /// Records the result of a call. Abandoned calls must not be recorded.
    pub fn record(&mut self, now: Timestamp, success: bool, pool: &PoolHealth) {
        self.window.record(now, success);
        self.consecutive_failures =
            if success { 0 } else { self.consecutive_failures.saturating_add(1) };
        match (self.state, success) {
            (BreakerState::Closed, false) if self.is_failing() && pool.may_eject() => {
                self.eject(now);
            }
            (BreakerState::Closed, _) => {}
            (BreakerState::Open(_) | BreakerState::HalfOpen(_), true) => self.recover(now),
            (BreakerState::HalfOpen(_), false) => self.eject(now),
            // The call was sent before the ejection.
            (BreakerState::Open(_), false) => {}
            (BreakerState::Recovering(_), false) if pool.may_eject() => self.eject(now),
            (BreakerState::Recovering(since), _) => {
                if recovery_status(now, since) == BreakerStatus::Closed {
                    self.close();
                }
            }
        }
    }

    /// Returns whether `CONSECUTIVE_FAILURES` calls failed in a row, or more than half of the calls in a
    /// window with at least `MIN_CALLS` calls.
    fn is_failing(&self) -> bool {
        let (successes, failures) = self.window.totals();
        let mostly_failed = successes + failures >= MIN_CALLS && successes < failures;
        self.consecutive_failures >= CONSECUTIVE_FAILURES || mostly_failed
    }

    fn eject(&mut self, now: Timestamp) {
        let factor = 1 << self.ejections.min(8);
        self.ejections = self.ejections.saturating_add(1);
        self.state =
            BreakerState::Open(now.plus(FIRST_OPEN_TIME.saturating_mul(factor).min(MAX_OPEN_TIME)));
    }

    fn recover(&mut self, now: Timestamp) {
        self.state = BreakerState::Recovering(now);
        self.window.clear();
    }

    fn close(&mut self) {
        self.state = BreakerState::Closed;
        self.ejections = 0;
    }
}

impl Default for CircuitBreaker {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the status at `now` of a recovery that began at `since`.
fn recovery_status(now: Timestamp, since: Timestamp) -> BreakerStatus {
    let steps = now.since(since).as_micros() / RECOVERY_STEP.as_micros();
    let share = FIRST_RECOVERY_SHARE * f64::from(1u32 << steps.min(16));
    if share >= 1.0 {
        BreakerStatus::Closed
    } else {
        BreakerStatus::Recovering(Share::clamped(share))
    }
}
