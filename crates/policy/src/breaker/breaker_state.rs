use masticstair_core::prelude::*;

/// Internal state of a circuit breaker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BreakerState {
    /// All calls are allowed.
    Closed,
    /// No call is allowed until this time; after it, one probe is.
    Open(Timestamp),
    /// A probe is in flight; if it has not completed by this time, another one may be sent.
    HalfOpen(Timestamp),
    /// A probe succeeded at this time; the share of traffic has been growing since.
    Recovering(Timestamp),
}
