use std::time::Duration;
use thiserror::Error;

/// The reason for which an attempt is not followed by another one.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum RetryRefusal {
    /// The call must not be repeated and may have run.
    #[error("the call is not idempotent and may have left the host")]
    NotIdempotent,
    /// The stage has used its attempts.
    #[error("the stage was attempted {attempts} times (at most {limit} are allowed)")]
    Attempts {
        /// The attempts so far.
        attempts: u32,
        /// The most attempts.
        limit: u32,
    },
    /// Another attempt would end after the deadline.
    #[error("another attempt needs {needed:?} and {remaining:?} are left to the deadline")]
    Deadline {
        /// The backoff and the expected time of the work.
        needed: Duration,
        /// The time to the deadline.
        remaining: Duration,
    },
    /// The host has used its budget.
    #[error(
        "{extra} retries and hedges in the window (at most {percent}% of {calls} calls plus {reserve} are allowed)"
    )]
    Budget {
        /// Retries and hedges in the window.
        extra: u64,
        /// First calls in the window.
        calls: u64,
        /// The allowed percentage.
        percent: u64,
        /// The fixed reserve.
        reserve: u64,
    },
}
