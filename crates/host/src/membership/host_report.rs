use std::sync::Arc;

use super::ReportedRevision;
use masticstair_policy::membership::HostRecord;

/// A live host and the bundle revision that it reported.
#[derive(Clone, Debug)]
pub struct HostReport {
    /// The latest merged record of the host.
    pub record: Arc<HostRecord>,
    /// The latest reported revision; none if the host has not sent a message to this one.
    pub reported: Option<ReportedRevision>,
}
