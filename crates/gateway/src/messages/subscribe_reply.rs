use masticstair_core::prelude::*;
use masticstair_policy::directory::FeedReply;
use serde::{Deserialize, Serialize};

use super::StageLoad;

/// What is new at a control host.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct SubscribeReply {
    /// The endpoints.
    pub feed: FeedReply,
    /// The version of the catalog that the control host holds.
    pub catalog_version: CatalogVersion,
    /// The document of the catalog, when it is newer than that of the sender.
    pub catalog: Option<Vec<u8>>,
    /// How busy the stage services are whose calls the control host forms.
    pub loads: Vec<StageLoad>,
}
