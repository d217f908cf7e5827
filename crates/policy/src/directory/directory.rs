use masticstair_core::prelude::*;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::departure::Departure;
use super::subscription::Subscription;
use super::{DepartureNotice, ListingUpdate, ServingEndpoint, ServingState};

/// How long the listing of a control host is used after its last update. An endpoint whose control host is lost
/// announces itself to another one within a few heartbeats.
const SUBSCRIPTION_RETENTION: Duration = Duration::from_secs(6);

/// How long the departure of an unlisted endpoint is remembered. A late announcement may list it once more.
const DEPARTURE_RETENTION: Duration = Duration::from_secs(60);

/// The limit on endpoints whose departure is remembered; beyond it the oldest departure is removed.
const MAX_DEPARTURES: usize = 4_096;

/// The endpoints that an entry host knows, merged from the listings of all control hosts.
///
/// While no control host answers, the last listings stay in use, so that traffic continues without control.
#[derive(Debug, Default)]
pub struct Directory {
    subscriptions: HashMap<HostId, Subscription>,
    /// Endpoints that stated or announced that they leave. Their incarnation takes no new work, whatever is listed.
    departures: HashMap<EndpointId, Departure>,
    /// The position of the last departure.
    departures_position: u64,
    ready: HashMap<ServiceName, Arc<[Arc<ServingEndpoint>]>>,
}

impl Directory {
    /// Returns the incarnation and the position that the next update of a control host shall continue from; the
    /// position is 0 when a complete listing is needed.
    pub fn position(&self, control: &HostId) -> (Incarnation, u64) {
        let subscription = self.subscriptions.get(control);
        subscription.map(|known| (known.incarnation, known.position)).unwrap_or_default()
    }

    /// Applies an update of a control host and returns whether the set of ready endpoints changed.
    pub fn apply_update(
        &mut self,
        now: Timestamp,
        control: &HostId,
        update: ListingUpdate,
    ) -> bool {
        let subscription = self.subscriptions.entry(control.clone()).or_default();
        let has_returned = now.since(subscription.last_seen) >= SUBSCRIPTION_RETENTION;
        let departures = update.departures();
        let changed = subscription.apply(now, update) || has_returned;
        for notice in departures {
            self.add_listed_departure(now, notice);
        }
        changed && self.refresh(now)
    }

    /// Records that an incarnation of an endpoint told this host that it leaves. Returns whether that was new.
    pub fn record_departure(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        incarnation: Incarnation,
    ) -> bool {
        let notice = DepartureNotice { endpoint: endpoint.clone(), incarnation };
        self.add_departure(now, notice, true) && self.refresh_departed(now)
    }

    /// Merges the departures that other hosts know. Returns whether one was new.
    pub fn merge_departures(&mut self, now: Timestamp, notices: Vec<DepartureNotice>) -> bool {
        let mut changed = false;
        for notice in notices {
            changed |= self.add_departure(now, notice, false);
        }
        changed && self.refresh_departed(now)
    }

    /// Returns the position of the last departure; 0 before the first one.
    pub fn departures_position(&self) -> u64 {
        self.departures_position
    }

    /// Returns the departures after a position; with `own_only`, only those that endpoints told this host.
    pub fn departures_after(&self, position: u64, own_only: bool) -> Vec<DepartureNotice> {
        let is_new = |d: &Departure| d.position > position && (d.is_own || !own_only);
        let new = self.departures.iter().filter(|(_, d)| is_new(d));
        let notice = |(id, d): (&EndpointId, &Departure)| DepartureNotice {
            endpoint: id.clone(),
            incarnation: d.incarnation,
        };
        new.map(notice).collect()
    }

    fn add_departure(&mut self, now: Timestamp, notice: DepartureNotice, is_own: bool) -> bool {
        let position = self.departures_position + 1;
        let incarnation = notice.incarnation;
        let departure = Departure { incarnation, at: now, position, is_own };
        let is_new = self.insert_departure(notice.endpoint, departure);
        if is_new {
            self.departures_position = position;
        }
        is_new
    }

    /// Adds a departure that a control host lists. It is kept after the control host was restarted and has forgotten it.
    fn add_listed_departure(&mut self, now: Timestamp, notice: DepartureNotice) {
        let incarnation = notice.incarnation;
        let departure = Departure { incarnation, at: now, position: 0, is_own: false };
        self.insert_departure(notice.endpoint, departure);
    }

    fn insert_departure(&mut self, endpoint: EndpointId, departure: Departure) -> bool {
        let known = self.departures.get(&endpoint);
        if known.is_some_and(|known| known.incarnation >= departure.incarnation) {
            return false;
        }
        self.departures.insert(endpoint, departure);
        if self.departures.len() > MAX_DEPARTURES {
            let oldest = self.departures.iter().min_by_key(|(_, departure)| departure.at);
            let oldest = oldest.map(|(id, _)| id.clone());
            oldest.and_then(|id| self.departures.remove(&id));
        }
        true
    }

    fn refresh_departed(&mut self, now: Timestamp) -> bool {
        self.refresh(now);
        true
    }

    /// Returns whether an endpoint takes new work.
    pub fn is_ready(&self, endpoint: &ServingEndpoint) -> bool {
        self.ready.get(&endpoint.service).is_some_and(|ready| {
            let position = ready.binary_search_by(|e| e.id.cmp(&endpoint.id));
            position.is_ok_and(|n| ready[n].incarnation == endpoint.incarnation)
        })
    }

    /// Returns the other endpoints that take new work in the data centre of an endpoint.
    pub fn neighbors(&self, endpoint: &ServingEndpoint) -> Vec<Arc<ServingEndpoint>> {
        let is_neighbor = |e: &&Arc<ServingEndpoint>| {
            e.data_centre == endpoint.data_centre && e.id != endpoint.id
        };
        self.ready.values().flat_map(|ready| ready.iter()).filter(is_neighbor).cloned().collect()
    }

    /// Merges the listings again, without those that expired, and returns whether the set of ready endpoints
    /// changed.
    pub fn refresh(&mut self, now: Timestamp) -> bool {
        let is_fresh = |subscription: &&Subscription| {
            now.since(subscription.last_seen) < SUBSCRIPTION_RETENTION
        };
        let any_fresh = self.subscriptions.values().any(|subscription| is_fresh(&subscription));
        let mut newest: HashMap<&EndpointId, &Arc<ServingEndpoint>> = HashMap::new();
        let mut fresh: HashSet<&EndpointId> = HashSet::new();
        for subscription in self.subscriptions.values() {
            let counts = !any_fresh || is_fresh(&subscription);
            for (id, endpoint) in &subscription.listed {
                if counts {
                    fresh.insert(id);
                }
                // A departure in a stale listing still counts.
                let known = newest.entry(id).or_insert(endpoint);
                if endpoint.supersedes(known) {
                    *known = endpoint;
                }
            }
        }
        newest.retain(|id, _| fresh.contains(id));
        self.departures.retain(|id, departure| {
            newest.contains_key(id) || now.since(departure.at) < DEPARTURE_RETENTION
        });
        let departures = &self.departures;
        let has_left = |e: &ServingEndpoint| {
            departures.get(&e.id).is_some_and(|departure| departure.incarnation >= e.incarnation)
        };
        let serving = newest_at_address(newest.into_values());
        let mut ready: HashMap<ServiceName, Vec<Arc<ServingEndpoint>>> = HashMap::new();
        let is_ready = |e: &&Arc<ServingEndpoint>| e.state == ServingState::Ready && !has_left(e);
        for endpoint in serving.into_values().filter(is_ready) {
            ready.entry(endpoint.service.clone()).or_default().push(endpoint.clone());
        }
        let mut merged = HashMap::new();
        for (service, mut endpoints) in ready {
            endpoints.sort_by(|a, b| a.id.cmp(&b.id));
            merged.insert(service, Arc::from(endpoints));
        }
        let changed = merged != self.ready;
        self.ready = merged;
        changed
    }

    /// Returns the endpoints of a service that accept new work, sorted by id.
    pub fn ready(&self, service: &ServiceName) -> Arc<[Arc<ServingEndpoint>]> {
        self.ready.get(service).cloned().unwrap_or_default()
    }

    /// Returns the newest record of an endpoint in any listing, including stale ones.
    pub fn find(&self, id: &EndpointId) -> Option<Arc<ServingEndpoint>> {
        let records =
            self.subscriptions.values().filter_map(|subscription| subscription.listed.get(id));
        records.max_by_key(|e| (e.incarnation, e.state)).cloned()
    }

    /// Returns the data centre of the ready endpoint at an address.
    pub fn data_centre_at(&self, address: SocketAddr) -> Option<&DataCentreId> {
        let mut endpoints = self.ready.values().flat_map(|endpoints| endpoints.iter());
        endpoints.find(|e| e.address == address).map(|e| &e.data_centre)
    }

    /// Returns the endpoints in all listings, also those that leave or are gone.
    pub fn listed(&self) -> impl Iterator<Item = &ServingEndpoint> {
        self.subscriptions.values().flat_map(|s| s.listed.values()).map(Arc::as_ref)
    }

    /// Returns the number of endpoints that accept new work, of all services.
    pub fn ready_count(&self) -> usize {
        self.ready.values().map(|endpoints| endpoints.len()).sum()
    }
}

/// Keeps the latest incarnation at each address: an address may be reused by another endpoint after the first
/// one stopped.
fn newest_at_address<'a>(
    endpoints: impl Iterator<Item = &'a Arc<ServingEndpoint>>,
) -> HashMap<SocketAddr, &'a Arc<ServingEndpoint>> {
    let mut by_address: HashMap<_, &Arc<ServingEndpoint>> = HashMap::new();
    for endpoint in endpoints {
        let known = by_address.entry(endpoint.address).or_insert(endpoint);
        if endpoint.incarnation > known.incarnation {
            *known = endpoint;
        }
    }
    by_address
}
