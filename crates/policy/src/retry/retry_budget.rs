use super::{ExtraCall, RetryRefusal};
use masticstair_core::prelude::*;
use std::time::Duration;

/// Length of the sliding window.
const WINDOW: Duration = Duration::from_secs(10);

/// Number of buckets of the window; the oldest bucket is dropped as a whole.
const BUCKET_COUNT: usize = 10;

/// Upper bound of the percentage that a bundle sets.
const MAX_PERCENT: u8 = 10;

/// Extra calls allowed in addition to the percentage, so that a host with few calls can retry.
const RESERVE_CALLS: u64 = 5;

/// Budget for retries and hedges (extra calls), shared by all stages of a host.
///
/// Two bounds hold at any time. In each window, extra calls are at most `percent` of the first calls
/// plus the reserve. Over the lifetime of the budget, they are at most `percent` of all first calls
/// plus the reserve once, because the reserve is not refilled over time. Total calls are therefore at
/// most 1.1 times the first calls plus five.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Allowed extra calls per 100 first calls, at most `MAX_PERCENT`.
    percent: u64,
    /// First calls and extra calls by bucket of the window.
    buckets: [(u64, u64); BUCKET_COUNT],
    /// Number of the current bucket since time zero of the clock.
    current_bucket: u64,
    /// Accrued and unspent extra calls over the lifetime of the budget, in hundredths of a call.
    credit_hundredths: u64,
}

impl RetryBudget {
    /// Creates a budget with only the reserve. `percent` is capped at 10.
    pub fn new(percent: u8) -> Self {
        let percent = u64::from(percent.min(MAX_PERCENT));
        Self {
            percent,
            buckets: Default::default(),
            current_bucket: 0,
            credit_hundredths: RESERVE_CALLS * 100,
        }
    }

    /// Sets the percentage after a new bundle; accrued credit and counted calls are kept.
    pub fn set_percent(&mut self, percent: u8) {
        self.percent = u64::from(percent.min(MAX_PERCENT));
    }

    /// Records the first call of a stage.
    pub fn record_call(&mut self, now: Timestamp) {
        let index = self.advance(now);
        self.buckets[index].0 += 1;
        self.credit_hundredths = self.credit_hundredths.saturating_add(self.percent);
    }

    /// Charges an extra call to the budget, or returns an error if the budget is exhausted. Hedges may
    /// use only half of it, so that failed calls can still be retried.
    pub fn try_take(&mut self, now: Timestamp, kind: ExtraCall) -> Result<(), RetryRefusal> {
        let index = self.advance(now);
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
        self.buckets[index].1 += 1;
        Ok(())
    }

    /// Clears the buckets that have left the window and returns the index of the current one.
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
