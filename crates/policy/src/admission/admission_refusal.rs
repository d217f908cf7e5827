use std::time::Duration;
use thiserror::Error;

/// Rejection of a request that can't meet its deadline.
#[derive(Clone, Debug, Error, PartialEq)]
#[error(
    "the request needs {wait:?} of waiting and {work:?} of work, and {remaining:?} are left to the deadline"
)]
pub struct AdmissionRefusal {
    /// Expected time in the queue.
    pub wait: Duration,
    /// Expected total latency of the stages that have not run.
    pub work: Duration,
    /// Time left until the deadline.
    pub remaining: Duration,
    /// Whole seconds until the same request is expected to be admitted; becomes `Retry-After`.
    pub retry_after_s: u32,
}
