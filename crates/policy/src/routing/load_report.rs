use crate::estimate::micros;
use masticstair_core::prelude::*;
use std::time::Duration;

/// The time after which a report counts for half; reports lag, so that their weight has to fall.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// An older report counts for nothing; its small remainder would still decide between idle endpoints.
const MAX_AGE: Duration = Duration::from_secs(5);

/// The load that an endpoint stated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// Calls that run.
    pub running: Slots,
    /// Calls that wait.
    pub queued: Slots,
    /// When this host learnt the report.
    pub at: Timestamp,
}

impl LoadReport {
    /// Returns the calls of other hosts by this report, discounted by its age. `own` is the number of
    /// calls of this host, which the report counts too.
    pub(crate) fn others(&self, now: Timestamp, own: Slots) -> f64 {
        let age = now.since(self.at);
        if age > MAX_AGE {
            return 0.0;
        }
        let stated = f64::from(self.running.get()) + f64::from(self.queued.get());
        let others = (stated - f64::from(own.get())).max(0.0);
        others * (-micros(age) / micros(HALF_LIFE)).exp2()
    }
}
