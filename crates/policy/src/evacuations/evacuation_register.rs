use masticstair_core::id::EvacuationRevision;
use masticstair_core::prelude::*;
use std::collections::BTreeMap;

use super::{Evacuation, EvacuationAction, EvacuationListing, EvacuationOrder, EvacuationReply};

/// The largest number of data centres in the register. Far above that of a deployment; keeps a listing below 32 KiB, whatever
/// names are sent.
pub const MAX_DATA_CENTRES: usize = 256;

/// The evacuated data centres, as a table of the replicated log.
///
/// The revision only rises. An order that asks for what holds changes nothing and is never refused, so that it can be sent
/// again after a lost acknowledgement.
#[derive(Clone, Debug, Default)]
pub struct EvacuationRegister {
    revision: EvacuationRevision,
    /// Invariant: no revision exceeds `revision`; at most `MAX_DATA_CENTRES`.
    data_centres: BTreeMap<DataCentreId, Evacuation>,
}

impl EvacuationRegister {
    /// Restores a register from the listing of a snapshot.
    pub fn from_listing(listing: EvacuationListing) -> Self {
        let entries = listing.data_centres.into_iter().map(|e| (e.data_centre.clone(), e));
        Self { revision: listing.revision, data_centres: entries.collect() }
    }

    /// Returns the revision of the last change; 0 before the first one.
    pub fn revision(&self) -> EvacuationRevision {
        self.revision
    }

    /// Returns all entries with the revision.
    pub fn listing(&self) -> EvacuationListing {
        let data_centres = self.data_centres.values().cloned().collect();
        EvacuationListing { revision: self.revision, data_centres }
    }

    /// Carries out an order, unless what it asks for holds already or it may be older than the last change.
    pub fn apply(&mut self, order: &EvacuationOrder) -> EvacuationReply {
        let known = self.data_centres.get(&order.data_centre);
        let is_evacuated = known.is_some_and(|e| e.is_evacuated);
        let last = known.map(|e| e.revision).unwrap_or_default();
        let begins = order.action == EvacuationAction::Begin;
        if is_evacuated == begins {
            return EvacuationReply::Held(last);
        }
        if last > order.after {
            return EvacuationReply::Outdated(last);
        }
        if known.is_none() && !self.make_room() {
            return EvacuationReply::Full;
        }
        self.revision = EvacuationRevision::new(self.revision.get() + 1);
        let entry = Evacuation {
            data_centre: order.data_centre.clone(),
            is_evacuated: begins,
            revision: self.revision,
            changed_at: order.proposed_at,
        };
        self.data_centres.insert(order.data_centre.clone(), entry);
        EvacuationReply::Changed(self.revision)
    }

    /// Makes room for one more data centre by forgetting the one whose evacuation ended first; returns whether there is.
    fn make_room(&mut self) -> bool {
        if self.data_centres.len() < MAX_DATA_CENTRES {
            return true;
        }
        let ended = self.data_centres.values().filter(|e| !e.is_evacuated);
        let oldest = ended.min_by_key(|e| e.revision).map(|e| e.data_centre.clone());
        oldest.and_then(|data_centre| self.data_centres.remove(&data_centre)).is_some()
    }
}
