use super::{ExtraCall, RetryRefusal};
use masticstair_core::prelude::*;
use std::time::Duration;

/// The length of the sliding window.
const WINDOW: Duration = Duration::from_secs(10);

/// The parts of the window; the oldest part is dropped as a whole.
const BUCKET_COUNT: usize = 10;

/// The greatest percentage that a bundle may set.
const MAX_PERCENT: u8 = 10;

/// Retries that a quiet host may send ahead of the calls that earn them.
const RESERVE_CALLS: u64 = 5;

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
    buckets: [(u64, u64); BUCKET_COUNT],
    /// The number of the current part since the start of the clock.
    current_bucket: u64,
    /// Earned and unspent extra calls over the life of the budget, in hundredths.
    credit_hundredths: u64,
}

impl RetryBudget {
    /// Starts with the reserve; more than 10 percent count as 10.
    pub fn new(percent: u8) -> Self {
        let percent = u64::from(percent.min(MAX_PERCENT));
        Self {
            percent,
            buckets: Default::default(),
            current_bucket: 0,
            credit_hundredths: RESERVE_CALLS * 100,
        }
    }

    /// Takes over the percentage of a new bundle; what was earned and spent stays.
    pub fn set_percent(&mut self, percent: u8) {
        self.percent = u64::from(percent.min(MAX_PERCENT));
    }

    /// Counts the first call of a stage.
    pub fn record_call(&mut self, now: Timestamp) {
        let at = self.advance(now);
        self.buckets[at].0 += 1;
        self.credit_hundredths = self.credit_hundredths.saturating_add(self.percent);
    }

    /// Charges the budget for an extra call, unless it is spent. Hedges may use half of it, so that
    /// failed calls can still be repeated.
    pub fn try_take(&mut self, now: Timestamp, kind: ExtraCall) -> Result<(), RetryRefusal> {
        let at = self.advance(now);
        let (calls, extra) = self.buckets.iter().fold((0, 0), |s, p| (s.0 + p.0, s.1 + p.1));
        let share = match kind {
            ExtraCall::Retry => 1,
            ExtraCall::Hedge => 2,
        };
        let allowed = (RESERVE_CALLS * 100 + calls * self.percent) / share;
        if (extra + 1) * 100 > allowed || self.credit_hundredths < 100 {
            let (percent, reserve) = (self.percent, RESERVE_CALLS);
            return Err(RetryRefusal::Budget { extra, calls, percent, reserve });
        }
        self.credit_hundredths -= 100;
        self.buckets[at].1 += 1;
        Ok(())
    }

    /// Empties the parts that have left the window and returns the current part.
    fn advance(&mut self, now: Timestamp) -> usize {
        let bucket = now.get() / (WINDOW.as_micros() as u64 / BUCKET_COUNT as u64);
        let elapsed_buckets = bucket.saturating_sub(self.current_bucket).min(BUCKET_COUNT as u64);
        for i in 0..elapsed_buckets {
            self.buckets[((bucket - i) % BUCKET_COUNT as u64) as usize] = (0, 0);
        }
        self.current_bucket = self.current_bucket.max(bucket);
        (self.current_bucket % BUCKET_COUNT as u64) as usize
    }
}
