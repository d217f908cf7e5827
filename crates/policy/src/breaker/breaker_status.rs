use crate::estimate::Share;

/// Calls that a circuit breaker allows at a point in time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BreakerStatus {
    /// All calls.
    Closed,
    /// No call.
    Ejected,
    /// One call as a probe.
    ProbeDue,
    /// This share of the usual traffic, while the endpoint recovers.
    Recovering(Share),
}

impl BreakerStatus {
    /// Returns whether calls other than probes are allowed.
    pub fn admits_traffic(&self) -> bool {
        matches!(self, Self::Closed | Self::Recovering(_))
    }
}
