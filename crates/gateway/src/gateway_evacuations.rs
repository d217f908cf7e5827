//! Data centres whose endpoints get no work from any host.

use masticstair_core::prelude::*;
use masticstair_policy::directory::ServingEndpoint;
use masticstair_policy::evacuations::EvacuationListing;
use slog::info;
use std::rc::Rc;
use std::sync::Arc;
use std::time::SystemTime;

use crate::Gateway;
use crate::stages::dispatch_all;

impl Gateway {
    /// Returns the wall clock of this host.
    pub(crate) fn wall(&self) -> WallTime {
        let since = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
        WallTime::new(since.as_millis() as u64)
    }

    /// Returns whether the endpoints of a data centre get no work.
    pub(crate) fn is_evacuated(&self, data_centre: &DataCentreId) -> bool {
        self.evacuations.borrow().is_evacuated(data_centre)
    }

    /// Leaves out the endpoints in evacuated data centres.
    pub(crate) fn without_evacuated(
        &self,
        ready: Arc<[Arc<ServingEndpoint>]>,
    ) -> Arc<[Arc<ServingEndpoint>]> {
        let evacuations = self.evacuations.borrow();
        match ready.iter().any(|e| evacuations.is_evacuated(&e.data_centre)) {
            false => ready,
            true => {
                let stays = |e: &&Arc<ServingEndpoint>| !evacuations.is_evacuated(&e.data_centre);
                ready.iter().filter(stays).cloned().collect()
            }
        }
    }

    /// Returns the services whose endpoints are all in evacuated data centres, ordered by name.
    pub(crate) fn unserved_services(&self) -> Vec<ServiceName> {
        let Some(catalog) = self.catalog.get() else { return Vec::new() };
        let directory = self.directory.borrow();
        let is_unserved = |service: &&ServiceName| {
            let ready = directory.ready(service);
            !ready.is_empty() && ready.iter().all(|e| self.is_evacuated(&e.data_centre))
        };
        let mut unserved: Vec<_> = catalog.services.keys().filter(is_unserved).cloned().collect();
        unserved.sort_unstable();
        unserved
    }

    /// Returns whether this host knows of a host or an endpoint in a data centre.
    pub(crate) fn knows_data_centre(&self, data_centre: &DataCentreId) -> bool {
        *data_centre == self.data_centre
            || self.peers().hosts.iter().any(|h| h.data_centre == *data_centre)
            || self.directory.borrow().listed().any(|e| e.data_centre == *data_centre)
    }

    /// Puts what an end of an evacuation means for its endpoints in force: they may have turned cold.
    fn on_evacuation_ended(&self, data_centre: &DataCentreId, endpoints: &[ServingEndpoint]) {
        self.suspect_cold(data_centre);
        info!(self.log, "evacuation of data centre ended"; "evacuated" => %data_centre,
            "endpoints" => endpoints.len());
    }
}

/// Puts a listing of the evacuations in force if it is newer than the one that this host obeys.
pub(crate) fn install_evacuations(gw: &Rc<Gateway>, listing: EvacuationListing) {
    let revision = listing.revision;
    let Some(changes) = gw.evacuations.borrow_mut().advance(gw.wall(), listing) else { return };
    let evacuated = gw.evacuations.borrow().evacuated().count();
    gw.metrics.evacuated_data_centres.set(evacuated as i64);
    for data_centre in &changes.begun {
        info!(gw.log, "data centre evacuated; its endpoints get no work";
            "evacuated" => %data_centre, "revision" => %revision);
    }
    for data_centre in &changes.ended {
        let directory = gw.directory.borrow();
        let there = directory.listed().filter(|e| e.data_centre == *data_centre);
        let endpoints: Vec<_> = there.cloned().collect();
        drop(directory);
        gw.on_evacuation_ended(data_centre, &endpoints);
    }
    gw.evacuations_changed.notify();
    dispatch_all(gw);
}
