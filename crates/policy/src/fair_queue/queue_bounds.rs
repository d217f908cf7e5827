use masticstair_core::prelude::*;

/// The most requests that wait.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueBounds {
    /// Of all accounts together.
    pub total: Slots,
    /// Of one account, so that it can't fill the queue for the others.
    pub account: Slots,
}
