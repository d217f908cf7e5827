use super::QueuedRequest;

/// A request in the queue or running.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ticket {
    /// The position of the account.
    pub(crate) account: usize,
    pub(crate) request: QueuedRequest,
    /// It has a slot; otherwise it waits.
    pub(crate) running: bool,
}
