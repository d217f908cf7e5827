use std::collections::BTreeMap;
use std::sync::Arc;

use super::limits::{LEASE_DURATION, MAX_ENDPOINTS, RENEWAL_INTERVAL, TAKEOVER_RENEWALS};
use super::{
    AnnounceError, Announcement, EndpointEntry, EndpointRecord, EndpointState, EndpointView, Lease,
    LoadReport, ObserverState, Sequence,
};
use masticstair_core::id::{EndpointId, HostId, Incarnation};
use masticstair_core::unit::Timestamp;

/// The endpoints that a host knows: those that announce themselves to it, and those that other hosts observe.
#[derive(Clone, Debug)]
pub struct EndpointTable {
    /// The host that owns the table.
    local: HostId,
    /// At most `MAX_ENDPOINTS`.
    entries: BTreeMap<EndpointId, EndpointEntry>,
    /// When `tick` last ran.
    last_tick: Option<Timestamp>,
}

impl EndpointTable {
    /// Creates an empty table for the host `local`.
    pub fn new(local: HostId) -> Self {
        Self { local, entries: BTreeMap::new(), last_tick: None }
    }

    /// Returns an endpoint in any state.
    pub fn get(&self, id: &EndpointId) -> Option<&EndpointEntry> {
        self.entries.get(id)
    }

    /// Returns every endpoint, including those that left or expired.
    pub fn iter(&self) -> impl Iterator<Item = &EndpointEntry> {
        self.entries.values()
    }

    /// Returns the endpoints that may receive new work.
    pub fn views(
        &self,
        now: Timestamp,
        observer: impl Fn(&HostId) -> ObserverState,
    ) -> Vec<EndpointView> {
        let usable = self.entries.values().filter(|e| e.is_usable(now));
        usable
            .map(|e| EndpointView {
                record: e.record.clone(),
                confirmed: observer(&e.record.observer) == ObserverState::Alive,
                load: e.load.clone(),
            })
            .collect()
    }

    /// Applies an announcement or a renewal of an endpoint; returns whether its record changed.
    ///
    /// # Errors
    ///
    /// Refuses an older incarnation, one that has left, and an endpoint beyond `MAX_ENDPOINTS`.
    pub fn announce(
        &mut self,
        now: Timestamp,
        announcement: Announcement,
    ) -> Result<bool, AnnounceError> {
        let Some(entry) = self.entries.get_mut(&announcement.id) else {
            return self.insert_announced(now, announcement);
        };
        check_incarnation(entry, announcement.incarnation)?;
        if has_left(entry, announcement.incarnation) {
            if announcement.leaving {
                return Ok(false);
            }
            let (id, incarnation) = (announcement.id, announcement.incarnation);
            return Err(AnnounceError::Left { id, incarnation });
        }
        let lease = Lease::renew(now, entry.lease);
        entry.lease = Some(lease);
        let record = build_record(announcement, &self.local, entry.record.sequence.next());
        let same = record.state == entry.record.state && record.same_announcement(&entry.record);
        let takeover = entry.record.observer != self.local
            && (entry.orphaned_since.is_some() || lease.consecutive_renewals >= TAKEOVER_RENEWALS);
        if same && !takeover {
            return Ok(false);
        }
        replace(entry, now, record);
        entry.lease = Some(lease);
        Ok(true)
    }

    /// Marks an endpoint as leaving at its own request; returns whether its record changed.
    ///
    /// # Errors
    ///
    /// Refuses an older incarnation and an unknown endpoint.
    pub fn leave(
        &mut self,
        now: Timestamp,
        id: &EndpointId,
        incarnation: Incarnation,
    ) -> Result<bool, AnnounceError> {
        let entry =
            self.entries.get_mut(id).ok_or_else(|| AnnounceError::Unknown { id: id.clone() })?;
        check_incarnation(entry, incarnation)?;
        if has_left(entry, incarnation) {
            return Ok(false);
        }
        let mut record = (*entry.record).clone();
        record.incarnation = incarnation;
        record.state = EndpointState::Leaving;
        record.sequence = record.sequence.next();
        record.observer = self.local.clone();
        replace(entry, now, record);
        Ok(true)
    }

    /// Merges a record from another host; returns whether it replaced the known one.
    pub fn merge(&mut self, now: Timestamp, record: EndpointRecord) -> bool {
        let full = self.entries.len() >= MAX_ENDPOINTS;
        match self.entries.get_mut(&record.id) {
            Some(entry) if record.supersedes(&entry.record) => {
                replace(entry, now, record);
                true
            }
            Some(_) => false,
            None if full => false,
            None => {
                self.entries.insert(record.id.clone(), new_entry(now, record, None));
                true
            }
        }
    }

    /// Records a load report; ignores one of an unknown endpoint.
    pub fn record_load(&mut self, now: Timestamp, report: LoadReport) {
        if let Some(entry) = self.entries.get_mut(&report.endpoint) {
            entry.load = Some((report, now));
        }
    }

    /// Expires leases, takes over from observers that are gone, and removes old records. Returns the
    /// endpoints whose record this host changed.
    pub fn tick(
        &mut self,
        now: Timestamp,
        observer: impl Fn(&HostId) -> ObserverState,
    ) -> Vec<EndpointId> {
        self.extend_leases_after_pause(now);
        self.entries.retain(|_, e| !e.is_removable(now));
        let mut changed = Vec::new();
        for entry in self.entries.values_mut() {
            let orphaned = observer(&entry.record.observer) == ObserverState::Gone;
            entry.orphaned_since = orphaned.then(|| entry.orphaned_since.unwrap_or(now));
            if let Some(state) = next_state(entry, now, &self.local) {
                let mut record = (*entry.record).clone();
                record.state = state;
                record.sequence = record.sequence.next();
                record.observer = self.local.clone();
                changed.push(record.id.clone());
                replace(entry, now, record);
            }
        }
        changed
    }

    /// Renews the leases after this process was paused: renewals from that time are still in its sockets.
    fn extend_leases_after_pause(&mut self, now: Timestamp) {
        let last = self.last_tick.replace(now).unwrap_or(now);
        if now.since(last) < RENEWAL_INTERVAL {
            return;
        }
        for lease in self.entries.values_mut().filter_map(|e| e.lease.as_mut()) {
            if lease.is_valid(last) {
                lease.renewed_at = now;
            }
        }
    }

    fn insert_announced(
        &mut self,
        now: Timestamp,
        announcement: Announcement,
    ) -> Result<bool, AnnounceError> {
        if self.entries.len() >= MAX_ENDPOINTS {
            return Err(AnnounceError::Full { limit: MAX_ENDPOINTS });
        }
        let record = build_record(announcement, &self.local, Sequence::default().next());
        let lease = Some(Lease::renew(now, None));
        self.entries.insert(record.id.clone(), new_entry(now, record, lease));
        Ok(true)
    }
}

/// Returns the new state if this host has to change the record: the lease of a ready endpoint that it
/// observes has expired, or it holds a lease of an endpoint that has expired or whose observer is gone.
fn next_state(entry: &EndpointEntry, now: Timestamp, local: &HostId) -> Option<EndpointState> {
    let valid = entry.lease.is_some_and(|l| l.is_valid(now));
    let observed_locally = entry.record.observer == *local;
    match entry.record.state {
        EndpointState::Leaving => None,
        EndpointState::Expired => valid.then_some(EndpointState::Ready),
        EndpointState::Ready if observed_locally => {
            // Without a lease, the record is from an earlier incarnation of this host, or this host got it
            // in an update; the endpoint has the duration of a lease to announce itself.
            let since =
                entry.lease.map_or(entry.changed_at, |l| l.renewed_at.max(entry.changed_at));
            (!valid && now.since(since) >= LEASE_DURATION).then_some(EndpointState::Expired)
        }
        EndpointState::Ready => {
            (valid && entry.orphaned_since.is_some()).then_some(EndpointState::Ready)
        }
    }
}

fn check_incarnation(entry: &EndpointEntry, announced: Incarnation) -> Result<(), AnnounceError> {
    let known = entry.record.incarnation;
    if announced < known {
        let id = entry.record.id.clone();
        return Err(AnnounceError::Outdated { id, announced, known });
    }
    Ok(())
}

fn has_left(entry: &EndpointEntry, incarnation: Incarnation) -> bool {
    entry.record.state == EndpointState::Leaving && entry.record.incarnation == incarnation
}

fn replace(entry: &mut EndpointEntry, now: Timestamp, record: EndpointRecord) {
    if record.incarnation != entry.record.incarnation {
        // Both belong to the earlier incarnation.
        entry.load = None;
        entry.lease = None;
    }
    entry.record = Arc::new(record);
    entry.changed_at = now;
    entry.orphaned_since = None;
}

fn new_entry(now: Timestamp, record: EndpointRecord, lease: Option<Lease>) -> EndpointEntry {
    EndpointEntry {
        record: Arc::new(record),
        changed_at: now,
        lease,
        orphaned_since: None,
        load: None,
    }
}

fn build_record(a: Announcement, observer: &HostId, sequence: Sequence) -> EndpointRecord {
    EndpointRecord {
        id: a.id,
        incarnation: a.incarnation,
        state: if a.leaving { EndpointState::Leaving } else { EndpointState::Ready },
        sequence,
        observer: observer.clone(),
        address: a.address,
        pool: a.pool,
        kind: a.kind,
        data_centre: a.data_centre,
        capacity: a.capacity,
        models: a.models,
    }
}
