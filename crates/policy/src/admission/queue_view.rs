use super::AccountView;
use masticstair_core::prelude::*;

/// State of the queue and the slots of the host from the point of view of a new request.
#[derive(Clone, Copy, Debug)]
pub struct QueueView {
    /// Queue state for the account of the request.
    pub account: AccountView,
    /// Number of requests of the class that may run (see `HostLimit::limit`).
    pub limit: Slots,
    /// Number of running requests of the class.
    pub in_flight: Slots,
}
