use masticstair_core::prelude::*;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use super::{ListingChange, ListingUpdate, ServingEndpoint};

/// The listing of one control host, as received by an entry host.
#[derive(Debug, Default)]
pub(super) struct Subscription {
    pub(super) incarnation: Incarnation,
    /// The position in the listing of `incarnation`; 0 without a complete one.
    pub(super) position: u64,
    /// Whether the process has settled, so that nothing is left of the listing of its predecessor.
    settled: bool,
    pub(super) last_seen: Timestamp,
    pub(super) listed: HashMap<EndpointId, Arc<ServingEndpoint>>,
    /// What the process itself has listed; empty once it has settled, when `listed` has nothing else.
    own: HashSet<EndpointId>,
}

impl Subscription {
    /// Applies an update and returns whether the listing changed.
    pub(super) fn apply(&mut self, now: Timestamp, update: ListingUpdate) -> bool {
        self.last_seen = now;
        let continues = update.incarnation == self.incarnation && self.position != 0;
        if update.complete {
            self.own.clear();
            self.settled = false;
        }
        self.incarnation = update.incarnation;
        self.position = if update.complete || continues { update.position } else { 0 };
        let mut changed = false;
        for change in update.changes {
            if !self.settled {
                match &change {
                    ListingChange::Listed(endpoint) => self.own.insert(endpoint.id.clone()),
                    ListingChange::Dropped(id) => self.own.remove(id),
                };
            }
            changed |= self.apply_change(change);
        }
        // A process that has just started lists only the endpoints that announced themselves since, so the
        // listing of its predecessor is kept until it has settled.
        if update.settled && !self.settled && self.position != 0 {
            let own = std::mem::take(&mut self.own);
            let before = self.listed.len();
            self.listed.retain(|id, _| own.contains(id));
            changed |= self.listed.len() != before;
            self.settled = true;
        }
        changed
    }

    fn apply_change(&mut self, change: ListingChange) -> bool {
        match change {
            ListingChange::Listed(endpoint) => {
                // The time is that of the listing, so that equal records would differ by it; `Warmups` has its end.
                let endpoint = ServingEndpoint { cold: Millis::default(), ..endpoint };
                let known = self.listed.get(&endpoint.id);
                if known.is_some_and(|known| **known == endpoint) {
                    return false;
                }
                self.listed.insert(endpoint.id.clone(), Arc::new(endpoint));
                true
            }
            ListingChange::Dropped(id) => self.listed.remove(&id).is_some(),
        }
    }
}
