use masticstair_core::prelude::*;

/// The state of a breaker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BreakerState {
    /// Calls pass.
    Closed,
    /// No call passes before this time; then one probe does.
    Open(Timestamp),
    /// A probe is in flight; when it has not ended by this time, another one may be sent.
    HalfOpen(Timestamp),
    /// A probe succeeded at this time, and the share of traffic grows since then.
    Recovering(Timestamp),
}
