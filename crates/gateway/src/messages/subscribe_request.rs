use masticstair_core::id::EvacuationRevision;
use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};

use super::CatalogMode;

/// Asks a control host for updates.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SubscribeRequest {
    /// The process of the control host that `position` belongs to.
    pub incarnation: Incarnation,
    /// The position of the last reply; 0 asks for a complete listing.
    pub position: u64,
    /// The version of the catalog in force at the subscriber.
    pub catalog: CatalogVersion,
    /// How long the control host may wait for an update.
    pub wait: Millis,
    /// What the subscriber wants of a newer catalog.
    pub catalog_mode: CatalogMode,
    /// How long the control host may hold a newer catalog back: an update from the arrival of the request on, a version
    /// from the time on at which the control host put it in force.
    pub catalog_wait: Millis,
    /// The revision of the evacuations in force at the subscriber; none if its build knows no evacuations.
    pub evacuations: Option<EvacuationRevision>,
}
