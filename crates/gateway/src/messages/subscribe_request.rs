use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};

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
}
