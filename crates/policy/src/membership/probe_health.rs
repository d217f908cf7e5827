use std::time::Duration;

use super::limits::SUSPICION_TIMEOUT;

/// Missed probes among the last ones that a healthy host can have: its peers fail now and then.
const TOLERATED_MISSES: u32 = 2;

/// The greatest factor by which a host lengthens its suspicions.
const MAX_SUSPICION_FACTOR: u32 = 4;

/// How well this host gets answers from its peers.
///
/// A host that misses many probes of different peers is likely at fault itself, and so takes longer to
/// call others failed. Source: Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More
/// Accurate Failure Detection" (2018).
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ProbeHealth {
    /// The last 8 probes, the newest in the lowest bit; a set bit is a miss.
    misses: u8,
}

impl ProbeHealth {
    /// Notes the outcome of a probe. Repeated probes of one silent host count once.
    pub fn record(&mut self, answered: bool) {
        self.misses = self.misses << 1 | u8::from(!answered);
    }

    /// Returns how long a suspicion lasts on this host before it becomes a failure.
    pub fn suspicion_timeout(self) -> Duration {
        let excess = self.misses.count_ones().saturating_sub(TOLERATED_MISSES);
        SUSPICION_TIMEOUT * (1 + excess).min(MAX_SUSPICION_FACTOR)
    }
}
