use super::AccountView;
use masticstair_core::prelude::*;

/// The queue and the slots of the host as one more request would find them.
#[derive(Clone, Copy, Debug)]
pub struct QueueView {
    /// The request's account.
    pub account: AccountView,
    /// How many requests of the class may run (see `HostLimit::limit`).
    pub limit: Slots,
    /// How many requests of the class run.
    pub in_flight: Slots,
}
