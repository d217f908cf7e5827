use masticstair_core::prelude::*;

/// Maximum number of queued requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueBounds {
    /// For all accounts together.
    pub total: Slots,
    /// Per account, so that one account can't fill the queue.
    pub account: Slots,
}
