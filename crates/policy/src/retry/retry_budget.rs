use super::{ExtraCall, RetryRefusal};
use masticstair_core::prelude::*;
use std::time::Duration;

/// The length of the sliding window.
const WINDOW: Duration = Duration::from_secs(10);

/// The parts of the window; the oldest part is dropped as a whole.
const PARTS: usize = 10;

/// The greatest percentage that a bundle may set.
const MAX_PERCENT: u8 = 10;

/// Retries that a quiet host may send ahead of the calls that earn them.
const RESERVE: u64 = 5;

/// The budget for retries and hedges, shared by all stages of a host.
///
/// Two bounds hold at any time. In each window, extra calls are at most `percent` of the first calls
/// in it plus the reserve. Over the life of the budget, they are at most `percent` of all first calls
/// plus the reserve once, because time alone does not refill it. Calls per request therefore stay at
/// most 1.1 times the number of stages, plus five calls in total.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// At most `MAX_PERCENT`.
    percent: u64,
    /// First calls and extra calls by part of the window.
    parts: [(u64, u64); PARTS],
    /// The number of the current part since the start of the clock.
    current: u64,
    /// Earned and unspent extra calls over the life of the budget, in hundredths.
    credit: u64,
}

impl RetryBudget {
    /// Starts with the reserve; more than 10 percent count as 10.
    pub fn new(percent: u8) -> Self {
        let percent = u64::from(percent.min(MAX_PERCENT));
        Self { percent, parts: Default::default(), current: 0, credit: RESERVE * 100 }
    }

    /// Takes over the percentage of a new bundle; what was earned and spent stays.
    pub fn set_percent(&mut self, percent: u8) {
        self.percent = u64::from(percent.min(MAX_PERCENT));
    }

    /// Counts the first call of a stage.
    pub fn record_call(&mut self, now: Timestamp) {
        let at = self.advance(now);
        self.parts[at].0 += 1;
        self.credit = self.credit.saturating_add(self.percent);
    }

    /// Charges the budget for an extra call, unless it is spent. Hedges may use half of it, so that
    /// failed calls can still be repeated.
    pub fn try_take(&mut self, now: Timestamp, kind: ExtraCall) -> Result<(), RetryRefusal> {
        let at = self.advance(now);
        let (calls, extra) = self.parts.iter().fold((0, 0), |s, p| (s.0 + p.0, s.1 + p.1));
        let share = match kind {
            ExtraCall::Retry => 1,
            ExtraCall::Hedge => 2,
        };
        let allowed = (RESERVE * 100 + calls * self.percent) / share;
        if (extra + 1) * 100 > allowed || self.credit < 100 {
            let (percent, reserve) = (self.percent, RESERVE);
            return Err(RetryRefusal::Budget { extra, calls, percent, reserve });
        }
        self.credit -= 100;
        self.parts[at].1 += 1;
        Ok(())
    }

    /// Empties the parts that have left the window and returns the current part.
    fn advance(&mut self, now: Timestamp) -> usize {
        let part = now.get() / (WINDOW.as_micros() as u64 / PARTS as u64);
        let passed = part.saturating_sub(self.current).min(PARTS as u64);
        for i in 0..passed {
            self.parts[((part - i) % PARTS as u64) as usize] = (0, 0);
        }
        self.current = self.current.max(part);
        (self.current % PARTS as u64) as usize
    }
}
