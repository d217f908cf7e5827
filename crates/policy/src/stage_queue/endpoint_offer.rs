use masticstair_core::prelude::*;
use smallvec::SmallVec;
use std::time::Duration;

/// The free capacity of an endpoint for its next call.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointOffer {
    /// The data centre of the endpoint.
    pub data_centre: DataCentreId,
    /// Data centres with more waiting items than their endpoints take with their next calls. Items that
    /// prefer one of them may run in any data centre.
    pub overloaded: SmallVec<[DataCentreId; 4]>,
    /// The most items of one call.
    pub max_items: usize,
    /// The memory that the endpoint has left for results.
    pub free_capacity: ByteCount,
    /// The expected duration of a call with `max_items` items, or with all waiting items if there are fewer.
    pub full_call_time: Duration,
    /// The time in which faster endpoints would complete an item that waits for one of them; `None` when no
    /// endpoint is faster.
    pub faster_completion: Option<Duration>,
}
