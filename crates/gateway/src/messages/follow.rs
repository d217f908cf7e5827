use masticstair_core::prelude::*;
use masticstair_policy::directory::ListingUpdate;
use serde::{Deserialize, Serialize};

use super::StageLoad;

/// Asks a control host for what is new.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct FollowRequest {
    /// The process that `position` belongs to.
    pub incarnation: Incarnation,
    /// The position of the last reply; 0 asks for a complete listing.
    pub position: u64,
    /// The version of the catalog in force at the sender.
    pub catalog: CatalogVersion,
    /// How long the control host may wait for something new.
    pub wait: Millis,
}

/// What is new at a control host.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct FollowReply {
    /// The endpoints.
    pub feed: ListingUpdate,
    /// The version of the catalog that the control host holds.
    pub catalog_version: CatalogVersion,
    /// The document of the catalog, when it is newer than that of the sender.
    pub catalog: Option<Vec<u8>>,
    /// How busy the stage services are whose calls the control host forms.
    pub loads: Vec<StageLoad>,
}
