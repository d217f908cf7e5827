use crate::unit::{ByteCount, Millis, Slots};

/// How one endpoint of a stage service works. A call has several items and takes `call` and `item` for each.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BatchLimits {
    /// Calls in progress at the same time.
    pub running: Slots,
    /// Calls that may wait.
    pub queued: Slots,
    /// Items of one call; at least 1.
    pub items: Slots,
    /// The time of a call without its items.
    pub call_overhead: Millis,
    /// The approximate time of an item, in microseconds.
    pub item_us: u64,
    /// The memory for results.
    pub result_capacity: ByteCount,
    /// How long a result is kept after its call.
    pub result_ttl: Millis,
}
