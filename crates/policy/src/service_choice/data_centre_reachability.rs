use masticstair_core::prelude::*;
use std::time::Duration;

/// Consecutive connection failures after which a data centre counts as unreachable. A single endpoint that is
/// down must not take the others out of use.
const UNREACHABLE_FAILURES: u32 = 3;

/// How long an unreachable data centre is in backoff before it is tried again.
const BACKOFF: Duration = Duration::from_millis(1_000);

/// Whether a data centre is reachable from this host, judged by its connections to endpoints there.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DataCentreReachability {
    /// Connection failures since the last answer from the data centre.
    consecutive_failures: u32,
    backoff_until: Timestamp,
}

impl DataCentreReachability {
    /// Records an answer of an endpoint there and ends the backoff.
    pub fn record_answer(&mut self) {
        *self = Self::default();
    }

    /// Records a connection that was refused or timed out.
    pub fn record_failure(&mut self, now: Timestamp) {
        self.consecutive_failures += 1;
        if self.consecutive_failures >= UNREACHABLE_FAILURES {
            self.backoff_until = now.plus(BACKOFF);
        }
    }

    /// Returns whether the data centre is in backoff.
    pub fn is_in_backoff(&self, now: Timestamp) -> bool {
        now < self.backoff_until
    }
}
