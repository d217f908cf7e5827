use std::time::Duration;

use masticstair_core::id::Revision;

/// The revision that a host reported last.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReportedRevision {
    /// The revision.
    pub revision: Revision,
    /// How long ago the host reported it.
    pub age: Duration,
}
