use crate::Gateway;

/// The positions that a host has reached in the findings of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct FindingPositions {
    pub(crate) evidence: u64,
    pub(crate) limits: u64,
    pub(crate) departures: u64,
    pub(crate) crashes: u64,
}

impl FindingPositions {
    /// Returns the positions of the last findings that this host knows.
    pub(crate) fn of(gw: &Gateway) -> Self {
        Self {
            evidence: gw.poison.borrow().position(),
            limits: gw.limits.borrow().position(),
            departures: gw.directory.borrow().departures_position(),
            crashes: gw.request_crashes.borrow().position(),
        }
    }

    /// Returns the positions of the last findings that all hosts have to know.
    pub(crate) fn shared(gw: &Gateway) -> Self {
        Self { crashes: gw.request_crashes.borrow().shared_position(), ..Self::of(gw) }
    }

    /// Returns whether there are findings after `other`.
    pub(crate) fn is_after(&self, other: &Self) -> bool {
        self.evidence > other.evidence
            || self.limits > other.limits
            || self.departures > other.departures
            || self.crashes > other.crashes
    }
}
