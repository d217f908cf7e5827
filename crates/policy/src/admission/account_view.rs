use crate::fair_queue::Cost;
use masticstair_core::prelude::*;
use std::time::Duration;

/// The fair queue as one more request of an account would find it (see `FairQueue::view`).
#[derive(Clone, Copy, Debug)]
pub struct AccountView {
    /// The cost of the account's requests of the same class that wait.
    pub waiting_cost: Cost,
    /// The cost of all requests that are served before it: the account's own that wait, and those of
    /// other accounts within their shares.
    pub cost_ahead: Cost,
    /// The account's requests that run.
    pub running: Slots,
    /// How many requests of the account may run.
    pub concurrency: Slots,
    /// The time until the account's rate admits one more request after those that wait.
    pub rate_wait: Duration,
}
