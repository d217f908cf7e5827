use masticstair_core::prelude::*;
use std::time::Duration;

/// What an endpoint without a call can take.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointOffer {
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Items of one call.
    pub items: usize,
    /// The memory that is left for results.
    pub room: ByteCount,
    /// The expected time of a full call.
    pub full_call: Duration,
}
