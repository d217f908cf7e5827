use crate::estimate::micros;
use masticstair_core::prelude::*;
use std::time::Duration;

/// Time after which the weight of a report halves, because reports become stale.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(1);

/// Older reports are ignored; otherwise their small remaining weight would decide between idle
/// endpoints.
const MAX_REPORT_AGE: Duration = Duration::from_secs(5);

/// Load that an endpoint reported.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// Number of running calls of all hosts.
    pub running: Slots,
    /// Number of queued calls of all hosts.
    pub queued: Slots,
    /// Time when this host received the report.
    pub received_at: Timestamp,
}

impl LoadReport {
    /// Returns the number of calls of other hosts according to this report, discounted by its age. The
    /// report includes `calls_of_this_host`, which are subtracted.
    pub(crate) fn calls_of_other_hosts(&self, now: Timestamp, calls_of_this_host: Slots) -> f64 {
        let age = now.since(self.received_at);
        if age > MAX_REPORT_AGE {
            return 0.0;
        }
        let reported = f64::from(self.running.get()) + f64::from(self.queued.get());
        let other_calls = (reported - f64::from(calls_of_this_host.get())).max(0.0);
        other_calls * (-micros(age) / micros(REPORT_HALF_LIFE)).exp2()
    }
}
