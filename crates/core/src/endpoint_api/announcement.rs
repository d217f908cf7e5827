use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

use super::{EndpointState, LoadReport, LoadedModel};
use crate::bundle::StageKind;
use crate::id::{DataCentreId, Incarnation, PoolName};
use crate::unit::Slots;

/// The body with which an endpoint registers or renews its lease: `PUT /v1/endpoints/{id}`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The address on which the endpoint accepts calls.
    pub address: SocketAddr,
    /// The kind of stage that the endpoint serves.
    pub kind: StageKind,
    /// A pool of the bundle.
    pub pool: PoolName,
    /// The data centre in which the endpoint runs.
    pub data_centre: DataCentreId,
    /// Increases with every restart; an announcement with a lower one than the last known is refused.
    pub incarnation: Incarnation,
    /// The number of calls that the endpoint runs concurrently.
    pub capacity: Slots,
    /// Models that are loaded and warmed up; empty by default.
    #[serde(default)]
    pub models: Vec<LoadedModel>,
    /// `None` if the endpoint reports no load.
    #[serde(default)]
    pub load: Option<LoadReport>,
    /// Whether the endpoint accepts new calls.
    pub state: EndpointState,
}
