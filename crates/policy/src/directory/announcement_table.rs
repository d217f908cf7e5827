use masticstair_core::prelude::*;
use std::collections::HashMap;
use std::time::Duration;

use super::{Announcement, FeedReply, Listing, ServingEndpoint, ServingState};

/// How long the end of an endpoint is listed. A late announcement of its life must not bring it back.
const GONE_RETENTION: Duration = Duration::from_secs(60);

/// Changes that are kept for followers; one that is further behind gets a complete listing.
const CHANGES_KEPT: usize = 4_096;

/// The most endpoints of a table; announcements of more are ignored.
const ENDPOINTS_LIMIT: usize = 16_384;

/// What the endpoints announced to one control host.
#[derive(Debug)]
pub struct AnnouncementTable {
    incarnation: Incarnation,
    started: Timestamp,
    /// An endpoint that is silent for longer is dropped.
    silence: Duration,
    endpoints: HashMap<EndpointId, Entry>,
    /// The position after the last change; the first change has position 1.
    position: u64,
    /// The endpoint of each of the last changes, oldest first.
    changes: std::collections::VecDeque<EndpointId>,
}

#[derive(Debug)]
struct Entry {
    endpoint: ServingEndpoint,
    sequence: u64,
    heard: Timestamp,
}

impl AnnouncementTable {
    /// Makes the table of a process that has just started.
    pub fn new(now: Timestamp, incarnation: Incarnation, silence: Duration) -> Self {
        Self {
            incarnation,
            started: now,
            silence,
            endpoints: HashMap::new(),
            position: 0,
            changes: std::collections::VecDeque::new(),
        }
    }

    /// Takes an announcement; tells whether the listing changed. Late ones change nothing.
    pub fn announce(&mut self, now: Timestamp, announcement: Announcement) -> bool {
        let Announcement { mut endpoint, sequence } = announcement;
        let is_full = self.endpoints.len() >= ENDPOINTS_LIMIT;
        let changed = match self.endpoints.get_mut(&endpoint.id) {
            None if is_full => return false,
            None => true,
            Some(entry) => {
                let known = &entry.endpoint;
                let is_same_life = known.incarnation == endpoint.incarnation;
                if known.incarnation > endpoint.incarnation
                    || (is_same_life
                        && (entry.sequence >= sequence || known.state == ServingState::Gone))
                {
                    return false;
                }
                if is_same_life {
                    endpoint.state = endpoint.state.max(known.state);
                }
                entry.sequence = sequence;
                entry.heard = now;
                is_listed_otherwise(known, &endpoint)
            }
        };
        if changed {
            let id = endpoint.id.clone();
            self.endpoints.insert(id.clone(), Entry { endpoint, sequence, heard: now });
            self.note_change(id);
        }
        changed
    }

    /// Notes that an endpoint ends; tells whether the listing changed. `incarnation` is the life that says
    /// so, if it is known. `elsewhere` is what other control hosts list of it: an endpoint may announce itself
    /// to one of them and tell its end to this one.
    pub fn leave(
        &mut self,
        now: Timestamp,
        id: &EndpointId,
        incarnation: Option<Incarnation>,
        elsewhere: Option<&ServingEndpoint>,
    ) -> bool {
        let own = self.endpoints.get(id).map(|entry| (&entry.endpoint, entry.sequence));
        let known = match (own, elsewhere) {
            (Some((own, _)), Some(other)) if other.incarnation > own.incarnation => {
                Some((other, 0))
            }
            (None, Some(other)) => Some((other, 0)),
            (own, _) => own,
        };
        let Some((endpoint, sequence)) = known else { return false };
        let is_other_life = incarnation.is_some_and(|i| i < endpoint.incarnation);
        if is_other_life || endpoint.state == ServingState::Gone {
            return false;
        }
        let endpoint = ServingEndpoint { state: ServingState::Gone, ..endpoint.clone() };
        self.endpoints.insert(id.clone(), Entry { endpoint, sequence, heard: now });
        self.note_change(id.clone());
        true
    }

    /// Drops endpoints that fell silent and returns them.
    pub fn expire(&mut self, now: Timestamp) -> Vec<EndpointId> {
        let silence = self.silence;
        let is_over = |entry: &Entry| {
            let kept = match entry.endpoint.state {
                ServingState::Gone => GONE_RETENTION,
                _ => silence,
            };
            now.since(entry.heard) > kept
        };
        let over: Vec<_> =
            self.endpoints.iter().filter(|(_, e)| is_over(e)).map(|(id, _)| id.clone()).collect();
        for id in &over {
            self.endpoints.remove(id);
            self.note_change(id.clone());
        }
        over
    }

    /// Tells whether an endpoint announced itself here or ended lately.
    pub fn contains(&self, id: &EndpointId) -> bool {
        self.endpoints.contains_key(id)
    }

    /// Returns the position after the last change.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Returns what changed after a position of a process; everything when the changes are not kept.
    pub fn changes_after(&self, now: Timestamp, incarnation: Incarnation, after: u64) -> FeedReply {
        let behind = self.position.saturating_sub(after);
        let is_kept = incarnation == self.incarnation
            && after != 0
            && after <= self.position
            && behind <= self.changes.len() as u64;
        let changes = match is_kept {
            true => self.changes.iter().skip(self.changes.len() - behind as usize).collect(),
            false => self.endpoints.keys().collect::<Vec<_>>(),
        };
        FeedReply {
            incarnation: self.incarnation,
            position: self.position.max(1),
            complete: !is_kept,
            settled: now.since(self.started) > self.silence,
            changes: changes.into_iter().map(|id| self.listing(id)).collect(),
        }
    }

    /// Returns the endpoints of the listing.
    pub fn endpoints(&self) -> impl Iterator<Item = &ServingEndpoint> {
        self.endpoints.values().map(|entry| &entry.endpoint)
    }

    fn listing(&self, id: &EndpointId) -> Listing {
        match self.endpoints.get(id) {
            Some(entry) => Listing::Listed(entry.endpoint.clone()),
            None => Listing::Dropped(id.clone()),
        }
    }

    fn note_change(&mut self, id: EndpointId) {
        // Position 0 asks for a complete listing, and an empty table answers with 1.
        self.position = self.position.max(1) + 1;
        self.changes.push_back(id);
        if self.changes.len() > CHANGES_KEPT {
            self.changes.pop_front();
        }
    }
}

/// Tells whether followers need the new record. How cold an endpoint is falls with each announcement, so
/// only its first value is told.
fn is_listed_otherwise(known: &ServingEndpoint, new: &ServingEndpoint) -> bool {
    let cold = known.cold;
    ServingEndpoint { cold, ..new.clone() } != *known
}
