use std::collections::BTreeMap;
use std::time::Duration;

use super::limits::GOSSIP_INTERVAL;
use super::{DueUpdate, UpdateKey};
use masticstair_core::id::HostId;
use masticstair_core::unit::Timestamp;

/// Exchanges that a host begins while it disseminates a change, beyond log2 of the number of hosts. Without
/// them, about one change in 50 would miss a host.
const EXTRA_TRANSMISSIONS: u32 = 3;

/// The age of a change up to which an answer carries the record itself. A caller still names a change
/// that it received two exchanges earlier, so one that does not name so recent a change lacks it.
const FRESH_AGE: Duration = GOSSIP_INTERVAL.saturating_mul(2);

/// Recent changes that a host disseminates.
///
/// A change is disseminated for a time that is the same on all hosts, and not for a number of messages: a host
/// with more messages than others would otherwise stop naming a change that the others still send it.
#[derive(Clone, Debug, Default)]
pub struct UpdateQueue {
    updates: BTreeMap<UpdateKey, Update>,
}

#[derive(Clone, Debug)]
struct Update {
    learned_at: Timestamp,
    /// The number of requests that carried the record itself.
    eager_sends: usize,
    /// The host that sent the change; `None` when this host made it.
    from: Option<HostId>,
}

impl UpdateQueue {
    /// Adds a change; restarts its dissemination window when the record changed again.
    pub fn push(&mut self, now: Timestamp, key: UpdateKey, from: Option<HostId>) {
        self.updates.insert(key, Update { learned_at: now, eager_sends: 0, from });
    }

    /// Returns the changes to send to a host, the oldest first, at most `limit`. Changes that came from that
    /// host are left out. The origin of a change sends the record itself in a burst and the next request.
    pub fn due(&self, now: Timestamp, to: &HostId, hosts: usize, limit: usize) -> Vec<DueUpdate> {
        let eager =
            |update: &Update| update.from.is_none() && update.eager_sends <= Self::burst(hosts);
        let half = Self::window(hosts) / 2;
        let mut due: Vec<_> =
            self.updates.iter().filter(|(_, update)| update.from.as_ref() != Some(to)).collect();
        due.sort_by_key(|(_, update)| update.learned_at);
        due.truncate(limit);
        let entry = |(key, update): (&UpdateKey, &Update)| DueUpdate {
            key: key.clone(),
            eager: eager(update),
            fresh: now.since(update.learned_at) < FRESH_AGE,
            answerable: now.since(update.learned_at) < half,
        };
        due.into_iter().map(entry).collect()
    }

    /// Records that a request of this host carried the record itself.
    pub fn record_eager_send(&mut self, key: &UpdateKey) {
        if let Some(update) = self.updates.get_mut(key) {
            update.eager_sends += 1;
        }
    }

    /// Removes the changes whose dissemination window for this many hosts has passed.
    pub fn prune(&mut self, now: Timestamp, hosts: usize) {
        let window = Self::window(hosts);
        self.updates.retain(|_, update| now.since(update.learned_at) < window);
    }

    /// Returns the records whose changes are being disseminated.
    pub fn keys(&self) -> impl Iterator<Item = &UpdateKey> {
        self.updates.keys()
    }

    /// Returns whether no change is being disseminated.
    pub fn is_empty(&self) -> bool {
        self.updates.is_empty()
    }

    /// Returns the number of peers that the origin of a change notifies at once: log2 of the number of hosts.
    pub fn burst(hosts: usize) -> usize {
        hosts.max(2).next_power_of_two().ilog2() as usize
    }

    /// Returns the dissemination window, which is how long a change is sent on among this many hosts.
    pub fn window(hosts: usize) -> Duration {
        GOSSIP_INTERVAL * (hosts.max(1).next_power_of_two().ilog2() + EXTRA_TRANSMISSIONS)
    }
}
