use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

use super::{EndpointState, LoadReport, LoadedModel};
use crate::bundle::StageKind;
use crate::id::{DataCentreId, Incarnation, PoolName};
use crate::unit::Slots;

/// An endpoint announces itself or renews its lease: `PUT /v1/endpoints/{id}`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Where the endpoint takes calls.
    pub address: SocketAddr,
    /// What it serves.
    pub kind: StageKind,
    /// The pool that it belongs to.
    pub pool: PoolName,
    /// Where it is.
    pub data_centre: DataCentreId,
    /// The life of its process; a lower one than the known one is refused.
    pub incarnation: Incarnation,
    /// Calls that it runs at the same time.
    pub capacity: Slots,
    /// Models that are loaded and warm.
    #[serde(default)]
    pub models: Vec<LoadedModel>,
    /// Its load, when it reports one.
    #[serde(default)]
    pub load: Option<LoadReport>,
    /// Whether it takes new work.
    pub state: EndpointState,
}
