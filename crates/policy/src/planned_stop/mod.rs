//! Which requests a host that stops may still begin.

use masticstair_core::unit::Timestamp;
use std::time::Duration;

/// The planned stop of a host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannedStop {
    /// When the host was told to stop.
    pub begun: Timestamp,
    /// When the answers that have not ended are broken off; after `begun`.
    pub ends: Timestamp,
}

impl PlannedStop {
    /// How long the load balancer takes to detect that a host accepts no more clients: two probes at an interval of a
    /// second, and the transit time.
    pub const NOTICE: Duration = Duration::from_millis(2_500);

    /// Returns whether a request with this deadline may begin at `now`. One that may not end before the stop is begun only
    /// if it may be repeated, and only while clients still come; most end long before their deadline.
    pub fn may_begin(&self, now: Timestamp, deadline: Timestamp, is_repeatable: bool) -> bool {
        deadline <= self.ends || (is_repeatable && now < self.begun.plus(Self::NOTICE))
    }
}
