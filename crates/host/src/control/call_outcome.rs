use masticstair_core::prelude::*;

/// How one host answered.
pub(super) enum CallOutcome {
    /// The leader answered.
    Done(Box<[u8]>),
    /// The request certainly had no effect; this host may lead.
    Retry(Option<HostId>, Box<str>),
    /// The command may be committed.
    Unknown(Box<str>),
}
