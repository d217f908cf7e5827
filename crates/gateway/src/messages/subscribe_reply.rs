use masticstair_core::prelude::*;
use masticstair_policy::directory::{ListingUpdate, SoftwareNotice};
use masticstair_policy::stream_versions::SoftwareSighting;
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
    /// With a complete listing: the versions that services had lately, and those of endpoints that have left.
    pub sightings: Vec<SoftwareSighting>,
    /// The time of which `sightings` misses no version.
    pub sightings_cover: Millis,
}
