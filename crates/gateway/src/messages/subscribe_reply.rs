use masticstair_core::prelude::*;
use masticstair_policy::directory::{ListingUpdate, SoftwareNotice};
use masticstair_policy::evacuations::EvacuationListing;
use serde::{Deserialize, Serialize};

use super::{CatalogUpdate, StageLoad};

/// Updates from a control host.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct SubscribeReply {
    /// Changes of the endpoints.
    pub feed: ListingUpdate,
    /// The version of the catalog that the control host holds.
    pub catalog_version: CatalogVersion,
    /// The content of the catalog, if it is newer than that of the subscriber and the subscriber takes no updates.
    pub catalog: Option<Vec<u8>>,
    /// Loads of the stage services whose calls the control host forms.
    pub loads: Vec<StageLoad>,
    /// The catalog, if it is newer than that of the subscriber and the subscriber takes updates.
    pub catalog_update: Option<CatalogUpdate>,
    /// The software of the endpoints in `feed`.
    pub software: Vec<SoftwareNotice>,
    /// How long the control host waited for an update; it held nothing else at the end of that time.
    pub held: Millis,
    /// The evacuations, if they are newer than those that the subscriber obeys.
    pub evacuations: Option<EvacuationListing>,
}
