use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

use super::{DepartureNotice, ListingChange, ServingEndpoint, ServingState, SoftwareNotice};

/// An update of the listing of a control host for a subscribed entry host.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListingUpdate {
    /// The process that sends the update; its positions are meaningless to another process.
    pub incarnation: Incarnation,
    /// The position that the subscriber has reached with this update.
    pub position: u64,
    /// Whether `changes` is a complete listing, and not only the changes since the requested position.
    pub complete: bool,
    /// Whether the process has run for long enough to have received an announcement of every endpoint that
    /// announces itself to it.
    pub settled: bool,
    /// The current record or the removal of each changed endpoint.
    pub changes: Vec<ListingChange>,
}

impl ListingUpdate {
    /// Returns the listed endpoints.
    pub fn listed(&self) -> impl Iterator<Item = &ServingEndpoint> {
        self.changes.iter().filter_map(|change| match change {
            ListingChange::Listed(endpoint) => Some(endpoint),
            ListingChange::Dropped(_) => None,
        })
    }

    /// Returns the software of the listed endpoints, as far as they state it.
    pub fn software(&self) -> Vec<SoftwareNotice> {
        let notice = |e: &ServingEndpoint| {
            let (endpoint, incarnation) = (e.id.clone(), e.incarnation);
            Some(SoftwareNotice { endpoint, incarnation, software: e.software.clone()? })
        };
        self.listed().filter_map(notice).collect()
    }

    /// Adds the software to the listed endpoints.
    pub fn add_software(&mut self, notices: Vec<SoftwareNotice>) {
        let mut software: HashMap<_, _> = notices
            .into_iter()
            .map(|notice| ((notice.endpoint, notice.incarnation), notice.software))
            .collect();
        for change in &mut self.changes {
            if let ListingChange::Listed(e) = change {
                e.software = software.remove(&(e.id.clone(), e.incarnation));
            }
        }
    }

    /// Returns the endpoints that leave or are gone.
    pub(super) fn departures(&self) -> Vec<DepartureNotice> {
        let departure = |change: &ListingChange| match change {
            ListingChange::Listed(e) if e.state != ServingState::Ready => {
                Some(DepartureNotice { endpoint: e.id.clone(), incarnation: e.incarnation })
            }
            _ => None,
        };
        self.changes.iter().filter_map(departure).collect()
    }
}
