use super::HostQuota;
use crate::fair_queue::AccountLimits;
use masticstair_core::prelude::*;
use std::time::Duration;

/// Returns the limits of an account on this host, from its local share and its loans.
///
/// `horizon` is the longest deadline of a request: a borrowed slot is used only while every request
/// that takes it finishes before the loan expires.
pub fn account_limits(
    now: Timestamp,
    horizon: Duration,
    weight: Weight,
    concurrency: &HostQuota,
    rate: &HostQuota,
    burst: Slots,
) -> AccountLimits {
    let slots = concurrency.usable(now, horizon).get();
    let thousandths = rate.usable(now, Duration::ZERO).get();
    AccountLimits {
        weight,
        concurrency: Slots::new(u32::try_from(slots).unwrap_or(u32::MAX)),
        // A quotient of non-negative integers is always a valid rate.
        rate: RatePerSecond::try_from(thousandths as f64 / 1_000.0).unwrap_or_default(),
        burst,
    }
}
