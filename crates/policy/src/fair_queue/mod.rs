//! Weighted fair queueing over client accounts.
//!
//! Start-time fair queueing (Goyal, Vin, Cheng 1996) between accounts and earliest deadline first
//! within an account, with a concurrency limit and a token-bucket rate limit per account. Only active
//! accounts are kept, so that memory does not grow with the number of known accounts.

mod account_limits;
mod account_queue;
mod account_sets;
mod backlog;
mod cost;
mod dequeued;
mod queue;
mod queue_bounds;
mod queue_error;
mod queued_request;
mod ready_set;
#[cfg(test)]
mod tests;
mod ticket;
mod ticket_id;
mod token_bucket;
mod virtual_time;
mod work_class;

pub use account_limits::AccountLimits;
pub use cost::Cost;
pub use dequeued::Dequeued;
pub use queue::FairQueue;
pub use queue_bounds::QueueBounds;
pub use queue_error::QueueError;
pub use queued_request::QueuedRequest;
pub use ticket_id::TicketId;
pub use work_class::WorkClass;

pub(crate) use account_queue::AccountQueue;
pub(crate) use backlog::Backlog;
pub(crate) use ready_set::ReadySet;
pub(crate) use ticket::Ticket;
pub(crate) use token_bucket::TokenBucket;
pub(crate) use virtual_time::VirtualTime;
