use std::time::Duration;

use masticstair_core::id::Revision;

/// The latest bundle revision that a host reported.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReportedRevision {
    /// May be lower than an earlier report if the host restarted.
    pub revision: Revision,
    /// The time since the report; zero for this host itself.
    pub age: Duration,
}
