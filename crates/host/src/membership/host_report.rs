use std::sync::Arc;

use super::ReportedRevision;
use masticstair_policy::membership::HostRecord;

/// A live host and the revision that it reported.
#[derive(Clone, Debug)]
pub struct HostReport {
    /// What is known of it.
    pub record: Arc<HostRecord>,
    /// The revision that it reported last; none when it has not sent a message to this host.
    pub reported: Option<ReportedRevision>,
}
