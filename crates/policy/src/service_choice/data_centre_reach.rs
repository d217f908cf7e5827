use masticstair_core::prelude::*;
use std::time::Duration;

/// Connections in a row that were not made after which a data centre counts as cut off. One endpoint that is down
/// must not hide the others.
const UNREACHABLE: u32 = 3;

/// How long a data centre that is cut off is left alone before it is tried again.
const AVOID: Duration = Duration::from_millis(1_000);

/// What this host has seen of the way to a data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DataCentreReach {
    /// Connections in a row that were not made, with no answer from the data centre between them.
    failures: u32,
    avoid_until: Timestamp,
}

impl DataCentreReach {
    /// Notes an answer of an endpoint there.
    pub fn note_answer(&mut self) {
        *self = Self::default();
    }

    /// Notes a connection that was refused or not made in time.
    pub fn note_failure(&mut self, now: Timestamp) {
        self.failures += 1;
        if self.failures >= UNREACHABLE {
            self.avoid_until = now.plus(AVOID);
        }
    }

    /// Tells whether the data centre is left alone.
    pub fn is_avoided(&self, now: Timestamp) -> bool {
        now < self.avoid_until
    }
}
