use masticstair_core::id::EvacuationRevision;
use masticstair_core::prelude::*;
use std::time::Duration;

use super::{Evacuation, EvacuationChanges, EvacuationListing};

/// For how long a host that has just started treats an evacuation as ended a moment ago, by the clocks of two hosts. Far
/// above the time for which endpoints stay cold and the usual difference of clocks.
const RECENT_END: Duration = Duration::from_secs(60);

/// The evacuations that a host obeys: the listing with the highest revision that it was told.
///
/// The revision never decreases during the life of the process.
#[derive(Debug, Default)]
pub struct EvacuationsInForce(EvacuationListing);

impl EvacuationsInForce {
    /// Returns the listing.
    pub fn listing(&self) -> &EvacuationListing {
        &self.0
    }

    /// Returns the revision of the listing; 0 before the first change.
    pub fn revision(&self) -> EvacuationRevision {
        self.0.revision
    }

    /// Returns the data centres that are evacuated, with the change that began it.
    pub fn evacuated(&self) -> impl Iterator<Item = &Evacuation> {
        self.0.data_centres.iter().filter(|e| e.is_evacuated)
    }

    /// Returns whether the endpoints of a data centre get no work.
    pub fn is_evacuated(&self, data_centre: &DataCentreId) -> bool {
        self.evacuated().any(|e| e.data_centre == *data_centre)
    }

    /// Puts a listing in force if its revision is higher, and returns what changed. `wall` is the clock of this host, which
    /// only decides what a host that has just started takes for a recent end.
    pub fn advance(
        &mut self,
        wall: WallTime,
        listing: EvacuationListing,
    ) -> Option<EvacuationChanges> {
        if listing.revision <= self.0.revision {
            return None;
        }
        let is_first = self.0.revision == EvacuationRevision::default();
        let is_recent = |e: &Evacuation| {
            wall.get().saturating_sub(e.changed_at.get()) < RECENT_END.as_millis() as u64
        };
        let mut changes = EvacuationChanges::default();
        for entry in listing.data_centres.iter().filter(|e| e.revision > self.0.revision) {
            if !entry.is_evacuated {
                if !is_first || is_recent(entry) {
                    changes.ended.push(entry.data_centre.clone());
                }
            } else if !self.is_evacuated(&entry.data_centre) {
                changes.begun.push(entry.data_centre.clone());
            }
        }
        self.0 = listing;
        Some(changes)
    }
}
