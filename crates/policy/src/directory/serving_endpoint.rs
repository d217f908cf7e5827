use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

use super::ServingState;

/// An endpoint as it was announced.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServingEndpoint {
    /// Its name.
    pub id: EndpointId,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Calls that it processes at the same time.
    pub capacity: Slots,
    /// Its life; a later one replaces it.
    pub incarnation: Incarnation,
    /// How far it is in this life.
    pub state: ServingState,
    /// How long it stays slow after its start, as announced last.
    pub cold: Millis,
}

impl ServingEndpoint {
    /// Tells whether this record replaces another one of the same endpoint.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }
}
