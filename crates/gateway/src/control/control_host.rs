use masticstair_core::prelude::*;
use masticstair_policy::directory::AnnouncementTable;
use std::cell::RefCell;

use super::CatalogStore;
use super::catalog_confirmations::CatalogConfirmations;
use super::listing_confirmations::ListingConfirmations;
use super::recent_catalogs::RecentCatalogs;
use crate::{CatalogInForce, Notify};

/// Heartbeats that an endpoint may miss before it expires: one may be late and one lost.
pub(crate) const MAX_MISSED_HEARTBEATS: f64 = 3.5;

/// State of a control host.
pub struct ControlHost {
    /// Endpoints that announce themselves to this host.
    pub(crate) table: RefCell<AnnouncementTable>,
    /// Notified when `table` or the catalog changes; subscribers wait on it.
    pub(crate) changed: Notify,
    pub(crate) store: CatalogStore,
    /// How far the subscribers are behind.
    pub(crate) confirmations: RefCell<CatalogConfirmations>,
    pub(crate) listing_confirmations: RefCell<ListingConfirmations>,
    /// Notified when a subscriber confirms a part of the listing.
    pub(crate) confirmed: Notify,
    pub(crate) recent: RefCell<RecentCatalogs>,
}

impl ControlHost {
    /// Creates a control host with an empty announcement table.
    pub fn new(
        now: Timestamp,
        incarnation: Incarnation,
        heartbeat: Millis,
        store: CatalogStore,
    ) -> Self {
        let expiry = heartbeat.duration().mul_f64(MAX_MISSED_HEARTBEATS);
        let table = AnnouncementTable::new(now, incarnation, expiry);
        Self {
            table: RefCell::new(table),
            changed: Notify::default(),
            store,
            confirmations: RefCell::default(),
            listing_confirmations: RefCell::default(),
            confirmed: Notify::default(),
            recent: RefCell::default(),
        }
    }

    /// Records the catalog in force, if it is a new one.
    pub(crate) fn record_catalog(&self, now: Timestamp, catalog: &CatalogInForce) {
        if let Some(document) = catalog.document() {
            self.confirmations.borrow_mut().record_installed(now, document.version);
            self.recent.borrow_mut().add(document);
        }
    }
}
