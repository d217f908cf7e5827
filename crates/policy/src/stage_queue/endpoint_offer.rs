use masticstair_core::prelude::*;
use smallvec::SmallVec;
use std::time::Duration;

/// What an endpoint can take with its next call.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointOffer {
    /// The data centre of the endpoint.
    pub data_centre: DataCentreId,
    /// Data centres that more waiting items prefer than their endpoints can take with their next calls. These
    /// items may run in any data centre.
    pub overloaded: SmallVec<[DataCentreId; 4]>,
    /// The maximum number of items in the call.
    pub max_items: usize,
    /// The memory that the endpoint has left for results.
    pub free_capacity: ByteCount,
    /// The expected duration of a call with `max_items` items, or with all waiting items if there are fewer.
    pub full_call_time: Duration,
    /// The expected time until a faster endpoint would complete an item that waits for it; `None` when no
    /// endpoint is faster.
    pub faster_completion: Option<Duration>,
}
