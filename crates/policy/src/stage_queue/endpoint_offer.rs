use masticstair_core::prelude::*;
use smallvec::SmallVec;
use std::time::Duration;

/// What an endpoint without a call can take.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointOffer {
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Data centres with more waiting items than their own endpoints take with their next calls; items that
    /// are needed there may go elsewhere.
    pub overloaded: SmallVec<[DataCentreId; 4]>,
    /// Items of one call.
    pub max_items: usize,
    /// The memory that is left for results.
    pub free_capacity: ByteCount,
    /// The expected time of a full call.
    pub full_call_time: Duration,
    /// The time within which the faster endpoints end the call of an item that waits for one of them; none when
    /// no endpoint is faster.
    pub faster_completion: Option<Duration>,
}
