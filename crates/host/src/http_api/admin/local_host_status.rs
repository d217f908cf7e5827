use masticstair_core::id::RegionId;
use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};

/// The host that answers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LocalHostStatus {
    /// The host.
    pub host: HostId,
    /// Its region.
    pub region: RegionId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The life of its process.
    pub incarnation: Incarnation,
    /// Why it serves nothing; none when it serves.
    pub not_serving: Option<Box<str>>,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Requests that wait in its queue.
    pub waiting: Slots,
    /// Requests that it has taken and not yet answered.
    pub in_flight: Slots,
    /// Open connections.
    pub connections: Slots,
    /// The storage fault that made its replica stop acknowledging.
    pub storage_fault: Option<Box<str>>,
}
