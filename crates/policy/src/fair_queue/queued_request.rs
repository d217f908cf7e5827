use super::{Cost, TicketId, WorkClass};
use masticstair_core::prelude::*;

/// Request that waits for a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueuedRequest {
    /// Unique per host among queued and running requests.
    pub ticket: TicketId,
    /// Class whose slots the request uses.
    pub class: WorkClass,
    /// Expected slot time; fair shares are measured in it.
    pub cost: Cost,
    /// Requests of an account are served in the order of their deadlines.
    pub deadline: Timestamp,
}
