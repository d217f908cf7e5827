use std::sync::Arc;

use super::membership_config::{ClockFn, MembershipConfig};
use super::notify::Notify;
use super::tables::{Tables, observer_state};
use super::{HostReport, HostView, MembershipSnapshot, ReportedRevision};
use masticstair_core::id::{EndpointId, HostId, Incarnation, Revision};
use masticstair_core::unit::{Millis, Timestamp};
use masticstair_net::peer::{PeerClient, PeerIdentity};
use masticstair_policy::endpoint_table::limits::LEASE_DURATION;
use masticstair_policy::endpoint_table::{AnnounceError, Announcement, LoadReport};
use masticstair_policy::membership::{HostRecord, HostState, Refutation, UpdateKey};
use parking_lot::{Mutex, RwLock};
use std::net::SocketAddr;
use std::time::Duration;

/// The state of the deployment as this host knows it; shared by all threads.
pub struct Membership {
    pub(crate) identity: PeerIdentity,
    /// Addresses to join; does not contain the address of this host.
    seeds: RwLock<Box<[SocketAddr]>>,
    clock: ClockFn,
    /// Locked only for table operations, never across an await.
    tables: Mutex<Tables>,
    /// Replaced by the control thread; never modified in place.
    snapshot: RwLock<Arc<MembershipSnapshot>>,
    /// Wakes the gossip task.
    pub(crate) changed: Notify,
    /// Wakes the bundle task.
    pub(crate) revision_seen: Notify,
}

impl Membership {
    /// Creates tables that contain only this host.
    pub fn new(cfg: MembershipConfig) -> Arc<Self> {
        let now = (cfg.clock)();
        let local = HostRecord {
            host: cfg.identity.host.clone(),
            incarnation: cfg.identity.incarnation,
            refutation: Refutation::default(),
            state: HostState::Alive,
            address: cfg.address,
            data_centre: cfg.data_centre,
            durable: cfg.durable,
        };
        let seeds: Box<[_]> = cfg.seeds.iter().copied().filter(|s| *s != cfg.address).collect();
        Arc::new(Self {
            identity: cfg.identity,
            clock: cfg.clock,
            tables: Mutex::new(Tables::new(now, local, seeds.is_empty())),
            snapshot: RwLock::default(),
            changed: Notify::default(),
            revision_seen: Notify::default(),
            seeds: RwLock::new(seeds),
        })
    }

    /// Returns the addresses to join, without that of this host.
    pub(crate) fn seeds(&self) -> Box<[SocketAddr]> {
        self.seeds.read().clone()
    }

    /// Replaces the seeds, without the address of this host; returns whether they changed.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) -> bool {
        let local_address = self.with_tables(|tables, _| {
            let local = tables.members.local().clone();
            tables.members.get(&local).map(|member| member.record.address)
        });
        let seeds: Box<[_]> =
            seeds.into_iter().filter(|seed| Some(*seed) != local_address).collect();
        let mut current = self.seeds.write();
        let changed = *current != seeds;
        *current = seeds;
        changed
    }

    /// Returns the current snapshot, which is at most one gossip interval old.
    pub fn snapshot(&self) -> Arc<MembershipSnapshot> {
        self.snapshot.read().clone()
    }

    /// Records an announcement or renewal of an endpoint; returns the duration of its lease.
    ///
    /// # Errors
    ///
    /// Fails if the incarnation is outdated or has left, or if the endpoint table is full.
    pub fn announce(&self, announcement: Announcement) -> Result<Millis, AnnounceError> {
        let id = announcement.id.clone();
        let changed = self.with_tables(|tables, now| {
            let changed = tables.endpoints.announce(now, announcement)?;
            if changed {
                tables.record_local_change(now, UpdateKey::Endpoint(id));
            }
            Ok(changed)
        })?;
        if changed {
            self.changed.notify();
        }
        Ok(Millis::new(LEASE_DURATION.as_millis() as u64))
    }

    /// Marks an endpoint as leaving at its own request.
    ///
    /// # Errors
    ///
    /// Fails if the incarnation is outdated or the endpoint is not in the table.
    pub fn leave_endpoint(
        &self,
        id: &EndpointId,
        incarnation: Incarnation,
    ) -> Result<(), AnnounceError> {
        self.with_tables(|tables, now| {
            if tables.endpoints.leave(now, id, incarnation)? {
                tables.record_local_change(now, UpdateKey::Endpoint(id.clone()));
            }
            Ok(())
        })?;
        self.changed.notify();
        Ok(())
    }

    /// Records the load that an endpoint reported to this host.
    pub fn record_load(&self, report: LoadReport) {
        self.with_tables(|tables, now| tables.endpoints.record_load(now, report));
    }

    /// Records a revision that this host holds, from its data folder or the replicated log, and pushes
    /// it to peers if it is newer.
    pub fn publish_revision(&self, revision: Revision) {
        if self.with_tables(|tables, _| tables.record_local_revision(revision)) {
            self.changed.notify();
        }
    }

    /// Returns the live hosts, including this one, with their latest reported revisions.
    pub fn host_reports(&self) -> Vec<HostReport> {
        self.with_tables(|tables, now| {
            let local = tables.members.local();
            let local_report = ReportedRevision { revision: tables.revision, age: Duration::ZERO };
            let live = tables.members.iter().filter(|m| m.is_live());
            live.map(|m| {
                let host = &m.record.host;
                let reported = if host == local {
                    Some(local_report)
                } else {
                    tables.reported_revisions.get(now, host)
                };
                HostReport { record: m.record.clone(), reported }
            })
            .collect()
        })
    }

    /// Runs `f` on the locked tables with the current time.
    pub(crate) fn with_tables<T>(&self, f: impl FnOnce(&mut Tables, Timestamp) -> T) -> T {
        let now = (self.clock)();
        f(&mut self.tables.lock(), now)
    }

    /// Replaces the snapshot; `peer` returns the client of a remote host.
    pub(crate) fn refresh(&self, mut peer: impl FnMut(&HostRecord) -> PeerClient) {
        let (live, failed, mut snapshot) = self.with_tables(|tables, now| {
            tables.snapshot_stale = false;
            let live = tables.members.iter().filter(|m| m.is_live());
            let live: Vec<_> = live.map(|m| m.record.clone()).collect();
            let failed = tables.members.iter().map(|m| &m.record);
            let failed = failed.filter(|r| r.durable && r.state == HostState::Failed);
            let failed: Vec<_> = failed.cloned().collect();
            let members = &tables.members;
            let mut endpoints = tables.endpoints.views(now, |host| observer_state(members, host));
            endpoints.sort_by(|a, b| a.record.pool.cmp(&b.record.pool));
            let snapshot = MembershipSnapshot {
                hosts: Box::default(),
                failed: Box::default(),
                endpoints: endpoints.into(),
                revision: tables.revision,
                newest_revision: tables.newest_revision,
                synced: tables.synced,
                superseded: tables.superseded,
            };
            (live, failed, snapshot)
        });
        let mut view = |record: Arc<HostRecord>| {
            let is_remote = record.host != self.identity.host;
            let peer = is_remote.then(|| peer(&record));
            HostView { record, peer }
        };
        snapshot.hosts = live.into_iter().map(&mut view).collect();
        snapshot.failed = failed.into_iter().map(&mut view).collect();
        *self.snapshot.write() = Arc::new(snapshot);
    }

    /// Returns the record of a host in any state.
    pub(crate) fn host(&self, host: &HostId) -> Option<Arc<HostRecord>> {
        self.with_tables(|tables, _| tables.members.get(host).map(|m| m.record.clone()))
    }
}
