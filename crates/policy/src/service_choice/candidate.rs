use std::time::Duration;

/// An endpoint that a call may go to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Calls of this host that it has not answered.
    pub in_flight: u32,
    /// Calls that it processes at the same time.
    pub capacity: u32,
    /// The latency that this host observes.
    pub latency: Duration,
    /// The share of calls that failed lately, from 0 to 1.
    pub failure_rate: f64,
    /// Whether it is in the data centre of this host.
    pub is_local: bool,
    /// Whether it is left alone after failures; it is used when nothing else is there.
    pub is_in_backoff: bool,
}
