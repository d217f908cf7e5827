use super::QueuedRequest;

/// State of a queued or running request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ticket {
    /// Position of the account in `FairQueue::accounts`.
    pub(crate) position: usize,
    pub(crate) request: QueuedRequest,
    /// True once the request has been granted a slot.
    pub(crate) running: bool,
}
