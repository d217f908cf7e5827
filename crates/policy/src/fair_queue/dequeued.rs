use super::TicketId;

/// Request removed from the queue by `FairQueue::dequeue`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Dequeued {
    /// The request may start; the caller has to call `FairQueue::finish` when it ends.
    Granted(TicketId),
    /// The request can no longer meet its deadline and was removed; its account was not charged.
    Late(TicketId),
}
