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
    /// When the last of the items that prefer a data centre is expected to start there, for each data centre that items
    /// prefer and that has endpoints.
    pub local_starts: SmallVec<[(DataCentreId, Timestamp); 4]>,
    /// The maximum number of items in the call.
    pub max_items: usize,
    /// The memory that the endpoint has left for results.
    pub free_capacity: ByteCount,
    /// The expected duration of a call with `max_items` items, or with all waiting items if there are fewer.
    pub full_call_time: Duration,
    /// The expected duration of a call with `max_items` items.
    pub largest_call_time: Duration,
    /// The items a second that are expected in the data centre of the endpoint.
    pub arrivals: f64,
    /// The endpoints in that data centre that take calls.
    pub endpoints: usize,
    /// The expected time until a faster endpoint would complete an item that waits for it; `None` when no
    /// endpoint is faster.
    pub faster_completion: Option<Duration>,
}
