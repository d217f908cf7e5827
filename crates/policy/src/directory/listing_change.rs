use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};

use super::ServingEndpoint;

/// A change of what a control host lists.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ListingChange {
    /// The endpoint is listed like this now.
    Listed(ServingEndpoint),
    /// The endpoint fell silent or ended long ago.
    Dropped(EndpointId),
}
