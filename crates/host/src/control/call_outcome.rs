use masticstair_core::prelude::*;

/// The outcome of one attempt to reach the leader.
pub(super) enum CallOutcome {
    /// The leader answered.
    Done(Box<[u8]>),
    /// The request had no effect and is safe to retry: the host that may lead, if one was named, and the
    /// reason.
    Retry(Option<HostId>, Box<str>),
    /// The command may have been committed, so it isn't sent again: the reason.
    Unknown(Box<str>),
}
