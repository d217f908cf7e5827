use std::time::Duration;

use super::limits::SUSPICION_TIMEOUT;

/// Missed probes among the last 8 that a healthy host may have, because peers fail occasionally.
const TOLERATED_MISSES: u32 = 2;

/// The largest factor by which a host lengthens its suspicions.
const MAX_SUSPICION_FACTOR: u32 = 4;

/// The recent probe results of this host.
///
/// A host that misses many probes of different peers is likely at fault itself, and so waits longer before it
/// declares others failed. Source: Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More
/// Accurate Failure Detection" (2018).
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ProbeHealth {
    /// The last 8 probes, the newest in the lowest bit; a set bit is a missed probe.
    misses: u8,
}

impl ProbeHealth {
    /// Records the result of a probe. Callers record repeated probes of one unresponsive host once.
    pub fn record(&mut self, answered: bool) {
        self.misses = self.misses << 1 | u8::from(!answered);
    }

    /// Returns how long a suspicion lasts on this host before it becomes a failure: `SUSPICION_TIMEOUT`, and up
    /// to `MAX_SUSPICION_FACTOR` times that after missed probes.
    pub fn suspicion_timeout(self) -> Duration {
        let excess = self.misses.count_ones().saturating_sub(TOLERATED_MISSES);
        SUSPICION_TIMEOUT * (1 + excess).min(MAX_SUSPICION_FACTOR)
    }
}
