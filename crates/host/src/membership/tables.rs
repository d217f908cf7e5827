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

/// The state of the deployment as this host knows it, and the state of its gossip; locked by
/// `Membership`.
pub(crate) struct Tables {
    pub(crate) members: MemberTable,
    pub(crate) endpoints: EndpointTable,
    pub(crate) updates: UpdateQueue,
    pub(crate) digest: DigestCache,
    /// The bundle revision that this host holds; never decreases.
    pub(crate) revision: Revision,
    /// The newest revision that this host or a peer holds; never decreases.
    pub(crate) newest_revision: Revision,
    /// Peers that hold `newest_revision`; at most `MAX_BUNDLE_SOURCES`.
    pub(crate) revision_sources: Vec<HostId>,
    /// The revision in the latest message of each peer.
    pub(crate) reported_revisions: ReportedRevisions,
    /// A revision whose bundle this host refused, and the time from which it may be fetched again.
    pub(crate) refused_revision: Option<(Revision, Timestamp)>,
    /// Whether this host has received the records of a peer.
    pub(crate) synced: bool,
    /// A higher incarnation of this host that peers know.
    pub(crate) superseded: Option<Incarnation>,
    /// Whether this host has local changes that it has not pushed to any peer.
    pub(crate) push_pending: bool,
    /// Whether the snapshot is older than the records.
    pub(crate) snapshot_stale: bool,
    /// Hosts that missed a probe and are being probed indirectly.
    pub(crate) probed_indirectly: BTreeSet<HostId>,
    /// When this host last received a message with an equal table hash.
    pub(crate) last_equal_at: Timestamp,
    /// When this host last compared digests.
    pub(crate) last_compared_at: Timestamp,
    /// The order of the regular exchanges.
    pub(crate) probe_order: ProbeOrder,
    /// The position of the next load report to send among those of this host.
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

    /// Records a change that this host made, and schedules a push to some peers.
    pub(crate) fn record_local_change(&mut self, now: Timestamp, key: UpdateKey) {
        self.updates.push(now, key, None);
        self.mark_changed();
        self.push_pending = true;
    }

    /// Invalidates the digest and the snapshot after a change of a record.
    pub(crate) fn mark_changed(&mut self) {
        self.digest.invalidate();
        self.snapshot_stale = true;
    }

    /// Expires suspicions, leases and retention times. Returns the hosts that failed.
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

    /// Merges the record of a host; returns whether the tables changed.
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

    /// Records the revision that a peer holds; returns whether it is the newest known one and newer than
    /// that of this host.
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

    /// Removes and returns a source of the newest revision. A source that fails is tried again only
    /// after it has reported the revision again.
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

    /// Records the revision that this host holds now; returns whether it is newer than before.
    pub(crate) fn record_local_revision(&mut self, revision: Revision) -> bool {
        let newer = revision > self.revision;
        self.revision = self.revision.max(revision);
        self.newest_revision = self.newest_revision.max(revision);
        newer
    }

    /// Returns the next peer for a regular exchange, except those that are being probed indirectly.
    pub(crate) fn next_peer(&mut self, draw: impl FnMut() -> Draw) -> Option<Arc<HostRecord>> {
        let live = self.members.live_peers().map(|m| &m.record.host);
        let wanted = live.filter(|host| !self.probed_indirectly.contains(*host)).cloned().collect();
        let host = self.probe_order.next(&wanted, draw)?;
        self.members.get(&host).map(|m| m.record.clone())
    }

    /// Returns whether a digest comparison is due, and if so records its start.
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

/// Returns the state of a host as an observer of endpoints; an unknown host counts as gone.
pub(crate) fn observer_state(members: &MemberTable, host: &HostId) -> ObserverState {
    match members.get(host).map(|m| m.record.state) {
        Some(HostState::Alive) => ObserverState::Alive,
        Some(HostState::Suspect) => ObserverState::Suspect,
        Some(HostState::Failed | HostState::Left) | None => ObserverState::Gone,
    }
}
