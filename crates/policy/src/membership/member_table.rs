use std::collections::BTreeMap;
use std::sync::Arc;

use super::limits::{MAX_HOSTS, PROCESS_PAUSE_THRESHOLD};
use super::{HostRecord, HostState, Member, MergeOutcome, ProbeHealth};
use masticstair_core::id::HostId;
use masticstair_core::unit::Timestamp;

/// The hosts that one host knows, including itself.
///
/// Records change as in Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process
/// Group Membership Protocol" (2002).
#[derive(Clone, Debug)]
pub struct MemberTable {
    /// This host; always in `members`.
    local: HostId,
    /// At most `MAX_HOSTS` entries.
    members: BTreeMap<HostId, Member>,
    /// The probe results of this host, which lengthen its suspicions.
    pub health: ProbeHealth,
    /// When `expire` last ran.
    last_expiry: Option<Timestamp>,
}

impl MemberTable {
    /// Creates a table that contains only this host.
    pub fn new(now: Timestamp, local: HostRecord) -> Self {
        let host = local.host.clone();
        let member = Member {
            record: Arc::new(local),
            changed_at: now,
            last_seen: None,
            suspect_until: None,
        };
        Self {
            local: host.clone(),
            members: BTreeMap::from([(host, member)]),
            health: ProbeHealth::default(),
            last_expiry: None,
        }
    }

    /// Returns the id of this host.
    pub fn local(&self) -> &HostId {
        &self.local
    }

    /// Returns the entry of a host; `None` when the host is unknown or was removed.
    pub fn get(&self, host: &HostId) -> Option<&Member> {
        self.members.get(host)
    }

    /// Returns every known host, including this one and those that failed or left.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the live hosts except this one.
    pub fn live_peers(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|m| m.is_live() && m.record.host != self.local)
    }

    /// Returns the number of live hosts, including this one.
    pub fn live_count(&self) -> usize {
        self.members.values().filter(|m| m.is_live()).count()
    }

    /// Records a message from a host. It does not clear a suspicion: only a refutation does.
    pub fn record_seen(&mut self, now: Timestamp, host: &HostId) {
        if let Some(member) = self.members.get_mut(host) {
            member.last_seen = Some(now);
        }
    }

    /// Merges a record that another host sent.
    pub fn merge(&mut self, now: Timestamp, record: HostRecord) -> MergeOutcome {
        if record.host == self.local {
            return self.merge_local(now, &record);
        }
        let known = self.members.get(&record.host);
        let wanted = match known {
            Some(member) => record.supersedes(&member.record),
            None => self.members.len() < MAX_HOSTS,
        };
        if !wanted {
            return MergeOutcome::Unchanged;
        }
        let last_seen = known.and_then(|m| m.last_seen);
        self.put(now, record, last_seen);
        MergeOutcome::Changed
    }

    /// Suspects an alive host whose probes time out; returns whether its state changed.
    pub fn suspect(&mut self, now: Timestamp, host: &HostId) -> bool {
        self.change(now, host, HostState::Alive, HostState::Suspect)
    }

    /// Sets the state of this host to `Left`.
    pub fn leave(&mut self, now: Timestamp) {
        if let Some(member) = self.members.get(&self.local) {
            let record = HostRecord { state: HostState::Left, ..(*member.record).clone() };
            self.put(now, record, None);
        }
    }

    /// Turns suspicions that were not refuted in time into failures and removes expired records. Returns the
    /// hosts that failed.
    pub fn expire(&mut self, now: Timestamp) -> Vec<HostId> {
        self.extend_suspicions_after_pause(now);
        self.members.retain(|_, m| !m.is_expired(now));
        let due = |m: &&Member| m.suspect_until.is_some_and(|until| until <= now);
        let mut failed: Vec<HostId> =
            self.members.values().filter(due).map(|m| m.record.host.clone()).collect();
        failed.retain(|host| self.change(now, host, HostState::Suspect, HostState::Failed));
        failed
    }

    /// Extends suspicions by the time in which this process was paused: refutations that arrived meanwhile are
    /// still in its socket buffers.
    fn extend_suspicions_after_pause(&mut self, now: Timestamp) {
        let pause = now.since(self.last_expiry.replace(now).unwrap_or(now));
        if pause < PROCESS_PAUSE_THRESHOLD {
            return;
        }
        for until in self.members.values_mut().filter_map(|m| m.suspect_until.as_mut()) {
            *until = until.plus(pause);
        }
    }

    /// Merges a record of this host from another host: refutes a suspicion or failure of this incarnation.
    fn merge_local(&mut self, now: Timestamp, record: &HostRecord) -> MergeOutcome {
        let Some(local) = self.members.get(&self.local).map(|m| m.record.clone()) else {
            return MergeOutcome::Unchanged;
        };
        if record.incarnation > local.incarnation {
            return MergeOutcome::Superseded(record.incarnation);
        }
        if local.state == HostState::Left || !record.supersedes(&local) {
            return MergeOutcome::Unchanged;
        }
        let refutation = record.refutation.next();
        self.put(now, HostRecord { refutation, ..(*local).clone() }, None);
        MergeOutcome::Refuted
    }

    fn change(&mut self, now: Timestamp, host: &HostId, from: HostState, to: HostState) -> bool {
        let Some(member) = self.members.get(host) else { return false };
        if member.record.state != from || *host == self.local {
            return false;
        }
        let last_seen = member.last_seen;
        let record = HostRecord { state: to, ..(*member.record).clone() };
        self.put(now, record, last_seen);
        true
    }

    fn put(&mut self, now: Timestamp, record: HostRecord, last_seen: Option<Timestamp>) {
        let suspect_until = (record.state == HostState::Suspect && record.host != self.local)
            .then(|| now.plus(self.health.suspicion_timeout()));
        let host = record.host.clone();
        let member = Member { record: Arc::new(record), changed_at: now, last_seen, suspect_until };
        self.members.insert(host, member);
    }
}
