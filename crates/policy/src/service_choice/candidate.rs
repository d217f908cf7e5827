use std::time::Duration;

/// An endpoint that a call may go to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Calls of this host that the endpoint has not answered.
    pub in_flight: u32,
    /// The expected number of requests of others at the endpoint, as far as it reported them.
    pub others: f64,
    /// The number of calls that the endpoint processes concurrently.
    pub capacity: u32,
    /// The mean latency that this host observed, times how much slower the endpoint is now as far as it reported that.
    pub latency: Duration,
    /// The smoothed fraction of calls that failed, from 0 to 1.
    pub failure_rate: f64,
    /// Whether the endpoint is in the data centre of this host.
    pub is_local: bool,
    /// Whether the endpoint is in backoff; it is used only when every candidate is.
    pub is_in_backoff: bool,
}
