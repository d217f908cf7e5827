use super::TicketId;

/// What left the queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Dequeued {
    /// The request may start; `FairQueue::finish` has to follow.
    Granted(TicketId),
    /// The request can no longer meet its deadline and is forgotten; nothing was charged for it.
    Late(TicketId),
}
