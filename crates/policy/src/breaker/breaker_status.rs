use crate::estimate::Share;

/// What a breaker lets through now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BreakerStatus {
    /// Every call.
    Closed,
    /// No call.
    Ejected,
    /// One call as a probe.
    ProbeDue,
    /// This share of the usual traffic.
    Recovering(Share),
}

impl BreakerStatus {
    /// Tells whether ordinary calls pass.
    pub fn admits_traffic(&self) -> bool {
        matches!(self, Self::Closed | Self::Recovering(_))
    }
}
