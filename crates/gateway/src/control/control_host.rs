use masticstair_core::prelude::*;
use masticstair_policy::directory::AnnouncementTable;
use std::cell::RefCell;

use super::CatalogStore;
use crate::Notify;

/// Heartbeats that an endpoint may miss before it is dropped. One may be late and one lost.
pub(crate) const MAX_MISSED_HEARTBEATS: f64 = 3.5;

/// What a control host keeps.
pub struct ControlHost {
    /// What endpoints announced here.
    pub(crate) table: RefCell<AnnouncementTable>,
    /// Wakes the followers.
    pub(crate) changed: Notify,
    /// The way to the replicated log.
    pub(crate) store: CatalogStore,
}

impl ControlHost {
    /// Makes a control host that has heard of no endpoint.
    pub fn new(
        now: Timestamp,
        incarnation: Incarnation,
        heartbeat: Millis,
        store: CatalogStore,
    ) -> Self {
        let expiry = heartbeat.duration().mul_f64(MAX_MISSED_HEARTBEATS);
        let table = AnnouncementTable::new(now, incarnation, expiry);
        Self { table: RefCell::new(table), changed: Notify::default(), store }
    }
}
