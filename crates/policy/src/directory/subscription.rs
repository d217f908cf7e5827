use masticstair_core::prelude::*;
use std::collections::HashMap;
use std::sync::Arc;

use super::{ListingChange, ListingUpdate, ServingEndpoint};

/// The listing of one control host, as received by an entry host.
#[derive(Debug, Default)]
pub(super) struct Subscription {
    pub(super) incarnation: Incarnation,
    pub(super) position: u64,
    /// Whether a complete listing of a settled process was applied.
    pub(super) settled: bool,
    pub(super) last_seen: Timestamp,
    pub(super) listed: HashMap<EndpointId, Arc<ServingEndpoint>>,
}

impl Subscription {
    /// Applies an update and returns whether the listing changed.
    pub(super) fn apply(&mut self, now: Timestamp, update: ListingUpdate) -> bool {
        self.last_seen = now;
        let mut changed = false;
        // A process that has just started lists only the endpoints that announced themselves since, so the
        // listing of its predecessor is kept until it has settled.
        if update.complete && update.settled {
            let is_listed = |id: &EndpointId| {
                update.changes.iter().any(|c| matches!(c, ListingChange::Listed(e) if e.id == *id))
            };
            let before = self.listed.len();
            self.listed.retain(|id, _| is_listed(id));
            changed |= self.listed.len() != before;
        }
        for change in update.changes {
            changed |= self.apply_change(change);
        }
        let continues = update.incarnation == self.incarnation && self.settled;
        self.settled = (update.complete && update.settled) || (continues && !update.complete);
        self.incarnation = update.incarnation;
        self.position = update.position;
        changed
    }

    fn apply_change(&mut self, change: ListingChange) -> bool {
        match change {
            ListingChange::Listed(endpoint) => {
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
