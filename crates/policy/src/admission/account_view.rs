use crate::fair_queue::Cost;
use masticstair_core::prelude::*;
use std::time::Duration;

/// State of the fair queue from the point of view of a new request of one account (see
/// `FairQueue::view`).
#[derive(Clone, Copy, Debug)]
pub struct AccountView {
    /// Total cost of the account's queued requests of the same class.
    pub waiting_cost: Cost,
    /// Total cost of all requests served before the new one: the account's queued requests, and those
    /// of other accounts within their fair shares.
    pub cost_ahead: Cost,
    /// Running requests of the account, of both classes.
    pub running: Slots,
    /// Concurrency limit of the account for the class.
    pub concurrency: Slots,
    /// Time until the rate limit of the account admits a request after those already queued.
    pub rate_wait: Duration,
}
