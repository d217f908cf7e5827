use super::{Cost, TicketId, WorkClass};
use masticstair_core::prelude::*;

/// A request that waits for a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueuedRequest {
    /// Unique on the host.
    pub ticket: TicketId,
    /// The class that it is queued in.
    pub class: WorkClass,
    /// The expected time in a slot, which is what shares are counted in.
    pub cost: Cost,
    /// The deadline of the request.
    pub deadline: Timestamp,
}
