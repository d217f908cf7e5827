use std::time::Duration;
use thiserror::Error;

/// Reason why a failed attempt is not retried.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum RetryRefusal {
    /// The call is not idempotent and may have run.
    #[error("the call is not idempotent and may have left the host")]
    NotIdempotent,
    /// The maximum number of attempts was reached.
    #[error("the stage was attempted {attempts} times (at most {limit} are allowed)")]
    Attempts {
        /// Attempts so far.
        attempts: u32,
        /// Maximum number of attempts.
        limit: u32,
    },
    /// Another attempt is expected to finish after the deadline.
    #[error("another attempt needs {needed:?} and {remaining:?} are left to the deadline")]
    Deadline {
        /// Backoff plus expected latency.
        needed: Duration,
        /// Time left until the deadline.
        remaining: Duration,
    },
    /// The retry budget of the host is exhausted.
    #[error(
        "{extra} retries and hedges in the window (at most {percent}% of {calls} calls plus {reserve} are allowed)"
    )]
    Budget {
        /// Retries and hedges in the window.
        extra: u64,
        /// First calls in the window.
        calls: u64,
        /// Allowed percentage of `calls`.
        percent: u64,
        /// Extra calls allowed in addition to the percentage.
        reserve: u64,
    },
}
