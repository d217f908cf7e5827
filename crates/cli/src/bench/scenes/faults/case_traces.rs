use masticstair_core::prelude::*;
use std::rc::Rc;

use super::fault_case::FaultCase;
use crate::trace::{TraceOptions, TraceRecord, generate_trace, trepiserv_profile};

/// How long a run is.
pub(super) const LENGTH: Millis = Millis::new(10_000);
/// The part of the capacity that is asked for without a fault.
const USUAL: f64 = 0.6;
/// The mean rate of a generated trace over its rate outside bursts: twice the rate for one second in five.
const MEAN_FACTOR: f64 = 1.2;
/// When the burst begins and how long it lasts.
const BURST_START: Millis = Millis::new(2_500);
const BURST_LENGTH: Millis = Millis::new(5_000);
/// What the burst adds, as a part of the capacity.
const BURST_EXTRA: f64 = 2.0 - USUAL;
/// The account that sends ten times its share, and that share.
pub(super) const GREEDY: &str = "narva-fitters";
const GREEDY_SHARE: f64 = 0.1;

/// Makes the trace of a case for endpoints that can answer `capacity` requests a second.
pub(super) fn make_trace(case: FaultCase, capacity: f64, seed: u64) -> Rc<[TraceRecord]> {
    let mut records = generate(capacity * USUAL, LENGTH, seed);
    match case {
        FaultCase::Burst => {
            let extra = generate(capacity * BURST_EXTRA, BURST_LENGTH, seed ^ 0x5eed);
            records.extend(extra.into_iter().map(|r| {
                let at_ms = Millis::new(r.at_ms.get() + BURST_START.get());
                TraceRecord { at_ms, ..r }
            }));
        }
        FaultCase::Account => {
            let rate = capacity * USUAL * GREEDY_SHARE * 9.0;
            if let Ok(account) = GREEDY.parse::<AccountId>() {
                let extra = generate(rate, LENGTH, seed ^ 0x5eed).into_iter();
                records.extend(extra.map(|r| TraceRecord { account: account.clone(), ..r }));
            }
        }
        FaultCase::Failing | FaultCase::None | FaultCase::Slow => {}
    }
    records.sort_by_key(|r| r.at_ms);
    records.into()
}

/// Returns the part of the requests that the capacity allows to answer.
pub(super) fn allowed_share(case: FaultCase, capacity: f64, offered: usize) -> f64 {
    let possible = capacity * LENGTH.duration().as_secs_f64();
    match case {
        FaultCase::Burst => (possible / offered as f64).min(1.0),
        _ => 1.0,
    }
}

fn generate(mean_rate: f64, length: Millis, seed: u64) -> Vec<TraceRecord> {
    let rate = RatePerSecond::try_from(mean_rate / MEAN_FACTOR).unwrap_or_default();
    generate_trace(&trepiserv_profile(), TraceOptions { seed, length, rate })
}
