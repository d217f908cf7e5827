use std::time::Duration;

/// The part of the budget that is used. The rest covers hosts that count the others differently for a
/// moment.
const USABLE_RATIO: f64 = 0.8;

/// What the operators of a deployment allow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceRetryLimits {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beside them, over all hosts together.
    pub allowance: f64,
    /// The span that both are counted in.
    pub window: Duration,
    /// Hosts that share the allowance; at least 1.
    pub hosts: usize,
}

impl ServiceRetryLimits {
    /// Returns how many repeats this host may send in a window with this many requests.
    pub fn limit(&self, requests: usize) -> usize {
        let local_limit = self.allowance / self.hosts.max(1) as f64 + self.ratio * requests as f64;
        (USABLE_RATIO * local_limit) as usize
    }
}
