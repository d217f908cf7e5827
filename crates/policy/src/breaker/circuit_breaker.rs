use super::{BreakerState, BreakerStatus, PoolHealth, Window};
use crate::estimate::Share;
use masticstair_core::prelude::*;
use std::time::Duration;

/// This many failures in a row eject an endpoint, so that a few calls are lost and not a window full.
const CONSECUTIVE_FAILURES: u32 = 3;

/// The share of successes is only judged by at least this many calls.
const MIN_CALLS: u32 = 8;

/// The time from the ejection to the first probe.
const FIRST_OPEN_TIME: Duration = Duration::from_secs(1);

/// The longest time to the next probe; the time doubles with each failed probe.
const MAX_OPEN_TIME: Duration = Duration::from_secs(8);

/// A probe that has not ended after this time is given up and another one is allowed.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// The share of its usual traffic that an endpoint gets after a successful probe.
const FIRST_RECOVERY_SHARE: f64 = 1.0 / 8.0;

/// The time after which the share of a recovering endpoint doubles.
const RECOVERY_STEP: Duration = Duration::from_millis(500);

/// The circuit breaker of one endpoint, as one host sees it.
#[derive(Clone, Debug)]
pub struct CircuitBreaker {
    state: BreakerState,
    /// Failures since the last success.
    consecutive_failures: u32,
    /// Ejections since the breaker was last fully closed; doubles the time to the next probe.
    ejections: u32,
    window: Window,
}

impl CircuitBreaker {
    /// Starts closed.
    pub fn new() -> Self {
        let (consecutive_failures, ejections) = (0, 0);
        Self {
            state: BreakerState::Closed,
            consecutive_failures,
            ejections,
            window: Window::default(),
        }
    }

    /// Tells what may be sent now.
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

    /// Tells whether the endpoint counts as ejected.
    pub fn is_ejected(&self) -> bool {
        matches!(self.state, BreakerState::Open(_) | BreakerState::HalfOpen(_))
    }

    /// Takes the right to send the probe; false when no probe is due or another caller took it.
    pub fn begin_probe(&mut self, now: Timestamp) -> bool {
        let due = self.status(now) == BreakerStatus::ProbeDue;
        if due {
            self.state = BreakerState::HalfOpen(now.plus(PROBE_TIMEOUT));
        }
        due
    }

    /// Takes up the end of a call. Abandoned calls are not reported.
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
            // The result of a call that was sent before the ejection.
            (BreakerState::Open(_), false) => {}
            (BreakerState::Recovering(_), false) if pool.may_eject() => self.eject(now),
            (BreakerState::Recovering(since), _) => {
                if recovery_status(now, since) == BreakerStatus::Closed {
                    self.close();
                }
            }
        }
    }

    /// Tells whether the failures reach one of the two bounds.
    fn is_failing(&self) -> bool {
        let (successes, failures) = self.window.totals();
        let share_low = successes + failures >= MIN_CALLS && successes < failures;
        self.consecutive_failures >= CONSECUTIVE_FAILURES || share_low
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

/// Returns the share of traffic at `now` for a recovery that began at `since`.
fn recovery_status(now: Timestamp, since: Timestamp) -> BreakerStatus {
    let steps = now.since(since).as_micros() / RECOVERY_STEP.as_micros();
    let share = FIRST_RECOVERY_SHARE * f64::from(1u32 << steps.min(16));
    if share >= 1.0 {
        BreakerStatus::Closed
    } else {
        BreakerStatus::Recovering(Share::clamped(share))
    }
}
