use masticstair_core::id::RegionId;
use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};

/// The status of the host that answers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LocalHostStatus {
    /// The name of the host.
    pub host: HostId,
    /// Its region.
    pub region: RegionId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// The reason why it serves no requests; `None` while it serves.
    pub not_serving: Option<Box<str>>,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Requests that wait in its queue.
    pub waiting: Slots,
    /// Requests that it has accepted and not yet answered.
    pub in_flight: Slots,
    /// Connections that its workers hold open.
    pub connections: Slots,
    /// Why its replica acknowledges no entries, such as a full disk; `None` while it does.
    pub storage_fault: Option<Box<str>>,
}
