use super::TicketId;
use masticstair_core::prelude::*;
use thiserror::Error;

/// Reason why a request is not queued.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum QueueError {
    /// The queue is full.
    #[error("{waiting} requests wait on this host (at most {limit} are allowed)")]
    Full {
        /// Number of queued requests.
        waiting: usize,
        /// Maximum for all accounts together.
        limit: Slots,
    },
    /// The account has reached its maximum number of queued requests.
    #[error(
        "{waiting} requests of account {account} wait on this host (at most {limit} are allowed)"
    )]
    AccountFull {
        /// Account of the request.
        account: AccountId,
        /// Number of queued requests of the account.
        waiting: usize,
        /// Maximum per account.
        limit: Slots,
    },
    /// The ticket belongs to another queued or running request.
    #[error("ticket {0} is in use")]
    TicketInUse(TicketId),
}
