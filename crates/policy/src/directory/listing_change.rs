use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};

use super::ServingEndpoint;

/// A change in the listing of a control host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ListingChange {
    /// The endpoint was added or its record changed.
    Listed(ServingEndpoint),
    /// The endpoint expired, or left longer ago than gone endpoints are listed.
    Dropped(EndpointId),
}
