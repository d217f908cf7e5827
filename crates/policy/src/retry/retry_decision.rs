use super::RetryRefusal;
use std::time::Duration;

/// Decision about retrying a failed attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum RetryDecision {
    /// Retry after a backoff; the budget has been charged.
    Retry {
        /// Backoff before the next attempt is sent.
        after: Duration,
    },
    /// Don't retry: the stage has failed.
    Stop(RetryRefusal),
}
