use masticstair_core::prelude::*;

/// A control host that may send this host the content of new catalogs.
#[derive(Clone, Copy, Debug)]
pub struct SourceCandidate<'a> {
    /// Its name.
    pub host: &'a HostId,
    /// Whether it is in the same data centre.
    pub is_near: bool,
    /// Whether it has answered lately.
    pub answers: bool,
}
