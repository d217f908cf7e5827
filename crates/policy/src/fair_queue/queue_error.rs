use super::TicketId;
use masticstair_core::prelude::*;
use thiserror::Error;

/// The reason for which a request is not queued.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum QueueError {
    /// The queue is full.
    #[error("{waiting} requests wait on this host (at most {limit} are allowed)")]
    Full {
        /// The requests that wait.
        waiting: usize,
        /// The most requests.
        limit: Slots,
    },
    /// The account has filled its part of the queue.
    #[error(
        "{waiting} requests of account {account} wait on this host (at most {limit} are allowed)"
    )]
    AccountFull {
        /// The account.
        account: AccountId,
        /// Its requests that wait.
        waiting: usize,
        /// The most requests.
        limit: Slots,
    },
    /// The ticket is in use.
    #[error("ticket {0} is in use")]
    TicketInUse(TicketId),
}
