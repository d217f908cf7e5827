use masticstair_core::prelude::*;
use std::collections::HashMap;
use std::time::Duration;

use super::{Announcement, ListingChange, ListingUpdate, ServingEndpoint, ServingState};

/// How long an endpoint stays listed as gone, so that a late announcement of that incarnation does not list it
/// as ready again.
const GONE_RETENTION: Duration = Duration::from_secs(60);

/// The number of changes that are kept for subscribers; one that is further behind gets a complete listing.
const MAX_CHANGES: usize = 4_096;

/// The limit on endpoints in a table; announcements of further endpoints are ignored.
const MAX_ENDPOINTS: usize = 16_384;

/// How much later than published the end of a warm-up must be to be published again. Announcements of one warm-up differ by
/// the time that they were on the way.
const WARMUP_TOLERANCE: Duration = Duration::from_millis(200);

/// The endpoints that announced themselves to one control host.
#[derive(Debug)]
pub struct AnnouncementTable {
    incarnation: Incarnation,
    started: Timestamp,
    /// An endpoint that does not announce itself for longer is removed.
    timeout: Duration,
    endpoints: HashMap<EndpointId, Entry>,
    /// The position of the last change; 0 before the first one, which gets position 2.
    position: u64,
    /// The endpoint of each of the last changes, oldest first.
    changes: std::collections::VecDeque<EndpointId>,
}

#[derive(Debug)]
struct Entry {
    endpoint: ServingEndpoint,
    sequence: u64,
    last_seen: Timestamp,
    /// When the endpoint is warm, as published. The record itself has the time that was left at the announcement.
    cold_until: Timestamp,
}

impl AnnouncementTable {
    /// Creates the empty table of a process that starts at `now`. Endpoints expire after `timeout` without an
    /// announcement.
    pub fn new(now: Timestamp, incarnation: Incarnation, timeout: Duration) -> Self {
        Self {
            incarnation,
            started: now,
            timeout,
            endpoints: HashMap::new(),
            position: 0,
            changes: std::collections::VecDeque::new(),
        }
    }

    /// Applies an announcement and returns whether the listing changed. Late announcements are ignored.
    pub fn announce(&mut self, now: Timestamp, announcement: Announcement) -> bool {
        let Announcement { mut endpoint, sequence } = announcement;
        let cold_until = now.plus(endpoint.cold.duration());
        let is_full = self.endpoints.len() >= MAX_ENDPOINTS;
        let changed = match self.endpoints.get_mut(&endpoint.id) {
            None if is_full => return false,
            None => true,
            Some(entry) => {
                let known = &entry.endpoint;
                let is_same_incarnation = known.incarnation == endpoint.incarnation;
                if known.incarnation > endpoint.incarnation
                    || (is_same_incarnation
                        && (entry.sequence >= sequence || known.state == ServingState::Gone))
                {
                    return false;
                }
                if is_same_incarnation {
                    endpoint.state = endpoint.state.max(known.state);
                }
                entry.sequence = sequence;
                entry.last_seen = now;
                listing_differs(known, &endpoint)
                    || (endpoint.cold > Millis::default()
                        && cold_until.since(entry.cold_until) > WARMUP_TOLERANCE)
            }
        };
        if changed {
            let id = endpoint.id.clone();
            let entry = Entry { endpoint, sequence, last_seen: now, cold_until };
            self.endpoints.insert(id.clone(), entry);
            self.record_change(id);
        }
        changed
    }

    /// Lists an endpoint as gone and returns whether the listing changed. `incarnation` is the one that leaves,
    /// if known. `remote` is the record that other control hosts list: an endpoint may announce itself to one
    /// of them and its departure to this one.
    pub fn leave(
        &mut self,
        now: Timestamp,
        id: &EndpointId,
        incarnation: Option<Incarnation>,
        remote: Option<&ServingEndpoint>,
    ) -> bool {
        let local = self.endpoints.get(id).map(|entry| (&entry.endpoint, entry.sequence));
        let known = match (local, remote) {
            (Some((local, _)), Some(remote)) if remote.incarnation > local.incarnation => {
                Some((remote, 0))
            }
            (None, Some(remote)) => Some((remote, 0)),
            (local, _) => local,
        };
        let Some((endpoint, sequence)) = known else { return false };
        let incarnation = incarnation.unwrap_or(endpoint.incarnation);
        let is_listed = endpoint.state == ServingState::Gone && incarnation == endpoint.incarnation;
        if incarnation < endpoint.incarnation || is_listed {
            return false;
        }
        let endpoint =
            ServingEndpoint { state: ServingState::Gone, incarnation, ..endpoint.clone() };
        let entry = Entry { endpoint, sequence, last_seen: now, cold_until: Timestamp::default() };
        self.endpoints.insert(id.clone(), entry);
        self.record_change(id.clone());
        true
    }

    /// Removes endpoints without a recent announcement, and gone ones after their retention; returns them.
    pub fn expire(&mut self, now: Timestamp) -> Vec<EndpointId> {
        let timeout = self.timeout;
        let is_expired = |entry: &Entry| {
            let retention = match entry.endpoint.state {
                ServingState::Gone => GONE_RETENTION,
                _ => timeout,
            };
            now.since(entry.last_seen) > retention
        };
        let expired: Vec<_> = self
            .endpoints
            .iter()
            .filter(|(_, e)| is_expired(e))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &expired {
            self.endpoints.remove(id);
            self.record_change(id.clone());
        }
        expired
    }

    /// Returns whether an endpoint is listed here, also when it is gone.
    pub fn contains(&self, id: &EndpointId) -> bool {
        self.endpoints.contains_key(id)
    }

    /// Returns the position of the last change; 0 before the first one.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Returns the changes after a position of the process `incarnation`, or a complete listing when that is
    /// another process, the position is 0, or the changes are no longer kept.
    pub fn changes_after(
        &self,
        now: Timestamp,
        incarnation: Incarnation,
        after: u64,
    ) -> ListingUpdate {
        // A table without changes is at position 1 for its subscribers, because 0 requests a complete listing.
        let position = self.position.max(1);
        let changes_behind = position.saturating_sub(after);
        let is_kept = incarnation == self.incarnation
            && after != 0
            && after <= position
            && changes_behind <= self.changes.len() as u64;
        let changes = match is_kept {
            true => {
                self.changes.iter().skip(self.changes.len() - changes_behind as usize).collect()
            }
            false => self.endpoints.keys().collect::<Vec<_>>(),
        };
        ListingUpdate {
            incarnation: self.incarnation,
            position,
            complete: !is_kept,
            settled: now.since(self.started) > self.timeout,
            changes: changes.into_iter().map(|id| self.listing(now, id)).collect(),
        }
    }

    /// Returns the listed endpoints, also those that leave or are gone.
    pub fn endpoints(&self) -> impl Iterator<Item = &ServingEndpoint> {
        self.endpoints.values().map(|entry| &entry.endpoint)
    }

    fn listing(&self, now: Timestamp, id: &EndpointId) -> ListingChange {
        match self.endpoints.get(id) {
            Some(entry) => {
                let left = entry.cold_until.since(now);
                let cold = Millis::new(left.as_micros().div_ceil(1_000) as u64);
                ListingChange::Listed(ServingEndpoint { cold, ..entry.endpoint.clone() })
            }
            None => ListingChange::Dropped(id.clone()),
        }
    }

    fn record_change(&mut self, id: EndpointId) {
        // Position 0 requests a complete listing, and a table without changes answers with 1.
        self.position = self.position.max(1) + 1;
        self.changes.push_back(id);
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
    }
}

/// Returns whether subscribers need the new record, apart from its warm-up, which becomes shorter with each announcement.
fn listing_differs(known: &ServingEndpoint, new: &ServingEndpoint) -> bool {
    let cold = known.cold;
    ServingEndpoint { cold, ..new.clone() } != *known
}
