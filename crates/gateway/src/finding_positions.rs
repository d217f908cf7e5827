use crate::Gateway;

/// The positions that a host has reached in the findings of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct FindingPositions {
    pub(crate) evidence: u64,
    pub(crate) limits: u64,
    pub(crate) departures: u64,
}

impl FindingPositions {
    /// Returns the positions of the last findings of this host.
    pub(crate) fn of(gw: &Gateway) -> Self {
        Self {
            evidence: gw.poison.borrow().position(),
            limits: gw.limits.borrow().position(),
            departures: gw.directory.borrow().departures_position(),
        }
    }

    /// Returns whether there are findings after `other`.
    pub(crate) fn is_after(&self, other: &Self) -> bool {
        self.evidence > other.evidence
            || self.limits > other.limits
            || self.departures > other.departures
    }
}
