use super::RetryRefusal;
use std::time::Duration;

/// Whether a failed attempt is followed by another one.
#[derive(Clone, Debug, PartialEq)]
pub enum RetryDecision {
    /// Another attempt may be sent after this time; the budget has been charged for it.
    Retry {
        /// The backoff.
        after: Duration,
    },
    /// The stage has failed.
    Stop(RetryRefusal),
}
