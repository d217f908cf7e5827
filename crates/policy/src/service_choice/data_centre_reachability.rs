use masticstair_core::prelude::*;
use std::time::Duration;

/// Connections in a row that were not made after which a data centre counts as cut off. One endpoint that is down
/// must not hide the others.
const UNREACHABLE_FAILURES: u32 = 3;

/// How long a data centre that is cut off is left alone before it is tried again.
const BACKOFF: Duration = Duration::from_millis(1_000);

/// What this host has seen of the way to a data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DataCentreReachability {
    /// Connections in a row that were not made, with no answer from the data centre between them.
    consecutive_failures: u32,
    backoff_until: Timestamp,
}

impl DataCentreReachability {
    /// Notes an answer of an endpoint there.
    pub fn record_answer(&mut self) {
        *self = Self::default();
    }

    /// Notes a connection that was refused or not made in time.
    pub fn record_failure(&mut self, now: Timestamp) {
        self.consecutive_failures += 1;
        if self.consecutive_failures >= UNREACHABLE_FAILURES {
            self.backoff_until = now.plus(BACKOFF);
        }
    }

    /// Tells whether the data centre is left alone.
    pub fn is_in_backoff(&self, now: Timestamp) -> bool {
        now < self.backoff_until
    }
}
