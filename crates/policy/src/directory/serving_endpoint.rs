use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

use super::ServingState;

/// The record of an endpoint, as announced by it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServingEndpoint {
    /// The id of the endpoint; the key of the listing.
    pub id: EndpointId,
    /// The service that the endpoint belongs to.
    pub service: ServiceName,
    /// The address that accepts calls.
    pub address: SocketAddr,
    /// The data centre of the endpoint.
    pub data_centre: DataCentreId,
    /// The number of calls that the endpoint processes concurrently.
    pub capacity: Slots,
    /// The incarnation of the process; a later one replaces the record.
    pub incarnation: Incarnation,
    /// The state of this incarnation.
    pub state: ServingState,
    /// The remaining warm-up time when the record was sent. Only a later end of the warm-up is published again, and
    /// subscribers keep that end, not this field (`Warmups`).
    pub cold: Millis,
    /// The software of this incarnation; none if it states no version. Between hosts it travels as a `SoftwareNotice`, since
    /// hosts of earlier builds read records without it.
    #[serde(skip)]
    pub software: Option<SoftwareVersion>,
}

impl ServingEndpoint {
    /// Returns whether this record replaces another one of the same endpoint.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }
}
