mod properties;
mod protocol;

use super::*;
use masticstair_core::prelude::*;
use std::time::Duration;

fn at(ms: u64) -> Timestamp {
    Timestamp::new(ms * 1_000)
}

fn amount(n: u64) -> Amount {
    Amount::new(n)
}

fn loan(host: usize, incarnation: u64, number: u64) -> LoanId {
    LoanId {
        borrower: format!("h{host}").parse().unwrap(),
        incarnation: Incarnation::new(incarnation),
        number: LoanNumber::new(number),
    }
}

fn usable(quota: &HostQuota, now_ms: u64) -> u64 {
    quota.usable(at(now_ms), Duration::ZERO).get()
}
