use std::time::Duration;
use thiserror::Error;

/// The reason for which a request is refused: it can't meet its deadline.
#[derive(Clone, Debug, Error, PartialEq)]
#[error(
    "the request needs {wait:?} of waiting and {work:?} of work, and {remaining:?} are left to the deadline"
)]
pub struct AdmissionRefusal {
    /// The expected wait.
    pub wait: Duration,
    /// The expected time of the stages that have not run.
    pub work: Duration,
    /// The time to the deadline.
    pub remaining: Duration,
    /// Whole seconds after which the same request is expected to be admitted.
    pub retry_after_s: u32,
}
