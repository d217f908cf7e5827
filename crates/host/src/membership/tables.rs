use std::collections::BTreeSet;
use std::sync::Arc;

use super::digest_cache::DigestCache;
use super::limits::{
    DIGEST_AFTER, DIGEST_INTERVAL, MAX_BUNDLE_SOURCES, QUIET_DIGEST_AFTER, QUIET_DIGEST_INTERVAL,
};
use super::reported_revisions::ReportedRevisions;
use masticstair_core::id::{HostId, Incarnation, Revision};
use masticstair_core::unit::{Draw, Timestamp};
use masticstair_policy::endpoint_table::{EndpointTable, ObserverState};
use masticstair_policy::membership::{
    HostRecord, HostState, MemberTable, MergeOutcome, ProbeOrder, UpdateKey, UpdateQueue,
};

/// Everything that a host knows of the deployment; behind the lock of `Membership`.
pub(crate) struct Tables {
    pub(crate) members: MemberTable,
    pub(crate) endpoints: EndpointTable,
    pub(crate) updates: UpdateQueue,
    pub(crate) digest: DigestCache,
    /// The revision that this host holds; only rises.
    pub(crate) revision: Revision,
    /// The newest revision that a peer holds; only rises.
    pub(crate) newest_revision: Revision,
    /// Peers that hold `newest_revision`; at most `MAX_BUNDLE_SOURCES`.
    pub(crate) revision_sources: Vec<HostId>,
    /// What each peer reported with its last message.
    pub(crate) reported_revisions: ReportedRevisions,
    /// A revision whose bundle this host refused, and when it may be fetched again.
    pub(crate) refused_revision: Option<(Revision, Timestamp)>,
    /// Whether this host has had the records of a peer.
    pub(crate) synced: bool,
    pub(crate) superseded: Option<Incarnation>,
    /// Whether this host made a change that it has not told anyone.
    pub(crate) push_pending: bool,
    /// Whether the snapshot is older than the records.
    pub(crate) snapshot_stale: bool,
    /// Hosts that missed a probe and are probed through others.
    pub(crate) probed_indirectly: BTreeSet<HostId>,
    /// When this host last met a peer with an equal table.
    pub(crate) last_equal_at: Timestamp,
    /// When this host last compared digests.
    pub(crate) last_compared_at: Timestamp,
    /// The order of the regular exchanges.
    pub(crate) probe_order: ProbeOrder,
    /// The next endpoint whose load report is sent.
    pub(crate) load_cursor: usize,
}

impl Tables {
    pub(crate) fn new(now: Timestamp, local: HostRecord, synced: bool) -> Self {
        let mut updates = UpdateQueue::default();
        updates.push(now, UpdateKey::Host(local.host.clone()), None);
        Self {
            endpoints: EndpointTable::new(local.host.clone()),
            members: MemberTable::new(now, local),
            updates,
            digest: DigestCache::default(),
            revision: Revision::default(),
            newest_revision: Revision::default(),
            revision_sources: Vec::new(),
            synced,
            superseded: None,
            push_pending: false,
            snapshot_stale: true,
            refused_revision: None,
            reported_revisions: ReportedRevisions::default(),
            probed_indirectly: BTreeSet::new(),
            last_equal_at: now,
            last_compared_at: now,
            probe_order: ProbeOrder::default(),
            load_cursor: 0,
        }
    }

    /// Notes a change that this host made itself: it is told to some peers at once.
    pub(crate) fn record_local_change(&mut self, now: Timestamp, key: UpdateKey) {
        self.updates.push(now, key, None);
        self.mark_changed();
        self.push_pending = true;
    }

    /// Notes that a record changed.
    pub(crate) fn mark_changed(&mut self) {
        self.digest.invalidate();
        self.snapshot_stale = true;
    }

    /// Lets time pass: suspicions, leases and retentions end. Returns the hosts that failed.
    pub(crate) fn expire(&mut self, now: Timestamp) -> Vec<HostId> {
        let failed = self.members.expire(now);
        for host in &failed {
            self.record_local_change(now, UpdateKey::Host(host.clone()));
        }
        let members = &self.members;
        for id in self.endpoints.tick(now, |host| observer_state(members, host)) {
            self.record_local_change(now, UpdateKey::Endpoint(id));
        }
        failed
    }

    /// Merges the record of a host; tells whether anything changed.
    pub(crate) fn merge_host(
        &mut self,
        now: Timestamp,
        record: HostRecord,
        from: &HostId,
        propagate: bool,
    ) -> bool {
        let key = UpdateKey::Host(record.host.clone());
        match self.members.merge(now, record) {
            MergeOutcome::Unchanged => return false,
            MergeOutcome::Changed if propagate => self.updates.push(now, key, Some(from.clone())),
            MergeOutcome::Changed => {}
            MergeOutcome::Refuted => self.record_local_change(now, key),
            MergeOutcome::Superseded(incarnation) => self.superseded = Some(incarnation),
        }
        self.mark_changed();
        true
    }

    /// Notes the revision that a peer holds; tells whether it is newer than that of this host.
    pub(crate) fn record_revision(&mut self, revision: Revision, from: &HostId) -> bool {
        if revision <= self.revision || revision < self.newest_revision {
            return false;
        }
        if revision > self.newest_revision {
            self.newest_revision = revision;
            self.revision_sources.clear();
        }
        if !self.revision_sources.contains(from) && self.revision_sources.len() < MAX_BUNDLE_SOURCES
        {
            self.revision_sources.push(from.clone());
        }
        true
    }

    /// Takes a source of the newest revision. A source that fails is asked again only after it tells of
    /// the revision once more.
    pub(crate) fn next_source(&mut self, now: Timestamp) -> Option<(Revision, HostId)> {
        if self.newest_revision <= self.revision {
            self.revision_sources.clear();
        }
        let waits = |(revision, until)| revision == self.newest_revision && now < until;
        if self.refused_revision.is_some_and(waits) {
            return None;
        }
        let source = self.revision_sources.pop()?;
        Some((self.newest_revision, source))
    }

    /// Notes the revision that this host holds now.
    pub(crate) fn record_local_revision(&mut self, revision: Revision) -> bool {
        let newer = revision > self.revision;
        self.revision = self.revision.max(revision);
        self.newest_revision = self.newest_revision.max(revision);
        newer
    }

    /// Returns the next peer for a regular exchange; none that is in doubt.
    pub(crate) fn next_peer(&mut self, draw: impl FnMut() -> Draw) -> Option<Arc<HostRecord>> {
        let live = self.members.live_peers().map(|m| &m.record.host);
        let wanted = live.filter(|host| !self.probed_indirectly.contains(*host)).cloned().collect();
        let host = self.probe_order.next(&wanted, draw)?;
        self.members.get(&host).map(|m| m.record.clone())
    }

    /// Tells whether it is time to compare digests, and notes that it is done.
    pub(crate) fn begin_comparison(&mut self, now: Timestamp) -> bool {
        self.updates.prune(now, self.members.live_count());
        let (after, interval) = match self.updates.is_empty() {
            true => (QUIET_DIGEST_AFTER, QUIET_DIGEST_INTERVAL),
            false => (DIGEST_AFTER, DIGEST_INTERVAL),
        };
        let due =
            now.since(self.last_equal_at) >= after && now.since(self.last_compared_at) >= interval;
        if due {
            self.last_compared_at = now;
        }
        due
    }
}

/// Tells what the endpoint table needs to know of a host.
pub(crate) fn observer_state(members: &MemberTable, host: &HostId) -> ObserverState {
    match members.get(host).map(|m| m.record.state) {
        Some(HostState::Alive) => ObserverState::Alive,
        Some(HostState::Suspect) => ObserverState::Suspect,
        Some(HostState::Failed | HostState::Left) | None => ObserverState::Gone,
    }
}
