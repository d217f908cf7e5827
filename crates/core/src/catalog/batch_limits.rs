use crate::unit::{ByteCount, Millis, Slots};

/// Limits and nominal latency of one endpoint of a stage service. Each item of a call is one piece of a
/// stage; a call with n items takes about `call_overhead` + n × `item_us`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BatchLimits {
    /// The number of calls that run concurrently.
    pub running: Slots,
    /// The number of calls that may wait at the endpoint.
    pub queued: Slots,
    /// The maximum number of items in one call; 0 is treated as 1.
    pub items: Slots,
    /// The nominal latency of a call apart from its items.
    pub call_overhead: Millis,
    /// The nominal latency that each item adds, in microseconds.
    pub item_us: u64,
    /// The memory in which the endpoint retains results.
    pub result_capacity: ByteCount,
    /// How long the endpoint retains a result after its call.
    pub result_ttl: Millis,
}
