use std::time::Duration;

/// Share of the budget that is used. The rest covers hosts that temporarily disagree on the number of
/// hosts.
const USABLE_RATIO: f64 = 0.8;

/// Retry limits of a deployment, set by its operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceRetryLimits {
    /// Retries per request.
    pub ratio: f64,
    /// Retries per window in addition to the ratio, for all hosts together.
    pub allowance: f64,
    /// Length of the sliding window.
    pub window: Duration,
    /// Number of hosts that share the allowance; zero counts as 1.
    pub hosts: usize,
}

impl ServiceRetryLimits {
    /// Returns how many retries this host may send in a window with `requests` requests.
    pub fn limit(&self, requests: usize) -> usize {
        let local_limit = self.allowance / self.hosts.max(1) as f64 + self.ratio * requests as f64;
        (USABLE_RATIO * local_limit) as usize
    }
}
