use crate::estimate::micros;
use masticstair_core::prelude::*;
use std::time::Duration;

/// The time after which a report counts for half; reports lag, so that their weight has to fall.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(1);

/// An older report counts for nothing; its small remainder would still decide between idle endpoints.
const MAX_REPORT_AGE: Duration = Duration::from_secs(5);

/// The load that an endpoint stated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// Calls that run.
    pub running: Slots,
    /// Calls that wait.
    pub queued: Slots,
    /// When this host learnt the report.
    pub received_at: Timestamp,
}

impl LoadReport {
    /// Returns the calls of other hosts by this report, discounted by its age. `local_calls` is the number of
    /// calls of this host, which the report counts too.
    pub(crate) fn remote_calls(&self, now: Timestamp, local_calls: Slots) -> f64 {
        let age = now.since(self.received_at);
        if age > MAX_REPORT_AGE {
            return 0.0;
        }
        let reported = f64::from(self.running.get()) + f64::from(self.queued.get());
        let remote_calls = (reported - f64::from(local_calls.get())).max(0.0);
        remote_calls * (-micros(age) / micros(REPORT_HALF_LIFE)).exp2()
    }
}
