use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

use crate::bundle::StageKind;
use crate::id::{DataCentreId, Incarnation, ModelName, ModelVersion, PoolName};
use crate::unit::{Millis, Slots};

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

/// Whether an endpoint takes new work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum EndpointState {
    /// Takes new work.
    Ready,
    /// Finishes its work and takes none; final for an incarnation.
    Leaving,
}

/// A model that is loaded and warm.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LoadedModel {
    /// The model.
    pub name: ModelName,
    /// Its version.
    pub version: ModelVersion,
}

/// The load of an endpoint as it reports it, with a lag.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LoadReport {
    /// Calls that run.
    pub running: Slots,
    /// Calls that wait.
    pub queued: Slots,
}

/// The answer to an announcement.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Lease {
    /// How long the announcement holds without a renewal.
    pub lease_ms: Millis,
}
