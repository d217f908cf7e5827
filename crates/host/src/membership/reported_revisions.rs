use std::collections::BTreeMap;

use super::ReportedRevision;
use masticstair_core::id::{HostId, Revision};
use masticstair_core::unit::Timestamp;

/// The latest revision that each host reported in its messages.
#[derive(Debug, Default)]
pub(crate) struct ReportedRevisions(BTreeMap<HostId, (Revision, Timestamp)>);

impl ReportedRevisions {
    /// Records the revision of a message. It may be lower than before if the host restarted.
    pub(crate) fn record(&mut self, now: Timestamp, host: &HostId, revision: Revision) {
        self.0.insert(host.clone(), (revision, now));
    }

    /// Removes all hosts but the `wanted` ones.
    pub(crate) fn retain(&mut self, wanted: impl Fn(&HostId) -> bool) {
        self.0.retain(|host, _| wanted(host));
    }

    pub(crate) fn get(&self, now: Timestamp, host: &HostId) -> Option<ReportedRevision> {
        let (revision, at) = self.0.get(host)?;
        Some(ReportedRevision { revision: *revision, age: now.since(*at) })
    }
}
