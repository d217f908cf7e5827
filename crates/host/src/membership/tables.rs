use std::collections::BTreeSet;
use std::sync::Arc;

use super::digest_cache::DigestCache;
use super::limits::{
    BUNDLE_SOURCES, DIGEST_AFTER, DIGEST_INTERVAL, QUIET_DIGEST_AFTER, QUIET_DIGEST_INTERVAL,
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
    pub(crate) news: UpdateQueue,
    pub(crate) digest: DigestCache,
    /// The revision that this host holds; only rises.
    pub(crate) revision: Revision,
    /// The newest revision that a peer holds; only rises.
    pub(crate) newest: Revision,
    /// Peers that hold `newest`; at most `BUNDLE_SOURCES`.
    pub(crate) sources: Vec<HostId>,
    /// What each peer reported with its last message.
    pub(crate) reported: ReportedRevisions,
    /// A revision whose bundle this host refused, and when it may be fetched again.
    pub(crate) refused: Option<(Revision, Timestamp)>,
    /// Whether this host has had the records of a peer.
    pub(crate) synced: bool,
    pub(crate) superseded: Option<Incarnation>,
    /// Whether this host made a change that it has not told anyone.
    pub(crate) urgent: bool,
    /// Whether the snapshot is older than the records.
    pub(crate) dirty: bool,
    /// Hosts that missed a probe and are probed through others.
    pub(crate) in_doubt: BTreeSet<HostId>,
    /// When this host last met a peer with an equal table.
    pub(crate) equal_at: Timestamp,
    /// When this host last compared digests.
    pub(crate) compared_at: Timestamp,
    /// The order of the regular exchanges.
    pub(crate) order: ProbeOrder,
    /// The next endpoint whose load report is sent.
    pub(crate) load_cursor: usize,
}

impl Tables {
    pub(crate) fn new(now: Timestamp, local: HostRecord, synced: bool) -> Self {
        let mut news = UpdateQueue::default();
        news.push(now, UpdateKey::Host(local.host.clone()), None);
        Self {
            endpoints: EndpointTable::new(local.host.clone()),
            members: MemberTable::new(now, local),
            news,
            digest: DigestCache::default(),
            revision: Revision::default(),
            newest: Revision::default(),
            sources: Vec::new(),
            synced,
            superseded: None,
            urgent: false,
            dirty: true,
            refused: None,
            reported: ReportedRevisions::default(),
            in_doubt: BTreeSet::new(),
            equal_at: now,
            compared_at: now,
            order: ProbeOrder::default(),
            load_cursor: 0,
        }
    }

    /// Notes a change that this host made itself: it is told to some peers at once.
    pub(crate) fn originate(&mut self, now: Timestamp, key: UpdateKey) {
        self.news.push(now, key, None);
        self.touch();
        self.urgent = true;
    }

    /// Notes that a record changed.
    pub(crate) fn touch(&mut self) {
        self.digest.invalidate();
        self.dirty = true;
    }

    /// Lets time pass: suspicions, leases and retentions end. Returns the hosts that failed.
    pub(crate) fn tick(&mut self, now: Timestamp) -> Vec<HostId> {
        let failed = self.members.expire(now);
        for host in &failed {
            self.originate(now, UpdateKey::Host(host.clone()));
        }
        let members = &self.members;
        for id in self.endpoints.tick(now, |host| observer_state(members, host)) {
            self.originate(now, UpdateKey::Endpoint(id));
        }
        failed
    }

    /// Merges the record of a host; tells whether anything changed.
    pub(crate) fn merge_host(
        &mut self,
        now: Timestamp,
        record: HostRecord,
        from: &HostId,
        spread: bool,
    ) -> bool {
        let key = UpdateKey::Host(record.host.clone());
        match self.members.merge(now, record) {
            MergeOutcome::Unchanged => return false,
            MergeOutcome::Changed if spread => self.news.push(now, key, Some(from.clone())),
            MergeOutcome::Changed => {}
            MergeOutcome::Refuted => self.originate(now, key),
            MergeOutcome::Superseded(incarnation) => self.superseded = Some(incarnation),
        }
        self.touch();
        true
    }

    /// Notes the revision that a peer holds; tells whether it is newer than that of this host.
    pub(crate) fn note_revision(&mut self, revision: Revision, from: &HostId) -> bool {
        if revision <= self.revision || revision < self.newest {
            return false;
        }
        if revision > self.newest {
            self.newest = revision;
            self.sources.clear();
        }
        if !self.sources.contains(from) && self.sources.len() < BUNDLE_SOURCES {
            self.sources.push(from.clone());
        }
        true
    }

    /// Takes a source of the newest revision. A source that fails is asked again only after it tells of
    /// the revision once more.
    pub(crate) fn next_source(&mut self, now: Timestamp) -> Option<(Revision, HostId)> {
        if self.newest <= self.revision {
            self.sources.clear();
        }
        let waits = |(revision, until)| revision == self.newest && now < until;
        if self.refused.is_some_and(waits) {
            return None;
        }
        let source = self.sources.pop()?;
        Some((self.newest, source))
    }

    /// Notes the revision that this host holds now.
    pub(crate) fn hold_revision(&mut self, revision: Revision) -> bool {
        let newer = revision > self.revision;
        self.revision = self.revision.max(revision);
        self.newest = self.newest.max(revision);
        newer
    }

    /// Returns the next peer for a regular exchange; none that is in doubt.
    pub(crate) fn next_peer(&mut self, draw: impl FnMut() -> Draw) -> Option<Arc<HostRecord>> {
        let live = self.members.live_peers().map(|m| &m.record.host);
        let wanted = live.filter(|host| !self.in_doubt.contains(*host)).cloned().collect();
        let host = self.order.next(&wanted, draw)?;
        self.members.get(&host).map(|m| m.record.clone())
    }

    /// Tells whether it is time to compare digests, and notes that it is done.
    pub(crate) fn begin_comparison(&mut self, now: Timestamp) -> bool {
        self.news.prune(now, self.members.live_count());
        let (after, interval) = match self.news.is_empty() {
            true => (QUIET_DIGEST_AFTER, QUIET_DIGEST_INTERVAL),
            false => (DIGEST_AFTER, DIGEST_INTERVAL),
        };
        let due = now.since(self.equal_at) >= after && now.since(self.compared_at) >= interval;
        if due {
            self.compared_at = now;
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
