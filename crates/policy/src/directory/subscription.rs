use masticstair_core::prelude::*;
use std::collections::HashMap;
use std::sync::Arc;

use super::{ListingChange, ListingUpdate, ServingEndpoint};

/// What one control host lists.
#[derive(Debug, Default)]
pub(super) struct Subscription {
    pub(super) incarnation: Incarnation,
    pub(super) position: u64,
    /// Whether a complete listing of a settled process was taken.
    pub(super) settled: bool,
    pub(super) last_seen: Timestamp,
    pub(super) listed: HashMap<EndpointId, Arc<ServingEndpoint>>,
}

impl Subscription {
    /// Takes a reply; tells whether the listing changed.
    pub(super) fn apply(&mut self, now: Timestamp, update: ListingUpdate) -> bool {
        self.last_seen = now;
        let mut changed = false;
        // A process that has just started lists only the endpoints that it has heard of since, so what its
        // predecessor listed is kept until it has settled.
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
