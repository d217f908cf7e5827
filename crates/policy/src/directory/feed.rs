use masticstair_core::prelude::*;
use std::collections::HashMap;
use std::sync::Arc;

use super::{FeedReply, Listing, ServingEndpoint};

/// What one control host lists.
#[derive(Debug, Default)]
pub(super) struct Feed {
    pub(super) incarnation: Incarnation,
    pub(super) position: u64,
    /// Whether a complete listing of a settled process was taken.
    pub(super) settled: bool,
    pub(super) heard: Timestamp,
    pub(super) listed: HashMap<EndpointId, Arc<ServingEndpoint>>,
}

impl Feed {
    /// Takes a reply; tells whether the listing changed.
    pub(super) fn take(&mut self, now: Timestamp, reply: FeedReply) -> bool {
        self.heard = now;
        let mut changed = false;
        // A process that has just started lists only the endpoints that it has heard of since, so what its
        // predecessor listed is kept until it has settled.
        if reply.complete && reply.settled {
            let is_listed = |id: &EndpointId| {
                reply.changes.iter().any(|c| matches!(c, Listing::Listed(e) if e.id == *id))
            };
            let before = self.listed.len();
            self.listed.retain(|id, _| is_listed(id));
            changed |= self.listed.len() != before;
        }
        for change in reply.changes {
            changed |= self.apply(change);
        }
        let continues = reply.incarnation == self.incarnation && self.settled;
        self.settled = (reply.complete && reply.settled) || (continues && !reply.complete);
        self.incarnation = reply.incarnation;
        self.position = reply.position;
        changed
    }

    fn apply(&mut self, change: Listing) -> bool {
        match change {
            Listing::Listed(endpoint) => {
                let known = self.listed.get(&endpoint.id);
                if known.is_some_and(|known| **known == endpoint) {
                    return false;
                }
                self.listed.insert(endpoint.id.clone(), Arc::new(endpoint));
                true
            }
            Listing::Dropped(id) => self.listed.remove(&id).is_some(),
        }
    }
}
