use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A live host as the answering host sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostStatus {
    /// The name of the host.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The address at which other hosts reach it.
    pub peer_address: SocketAddr,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// Whether it is suspected to have failed because it didn't answer probes.
    pub suspected: bool,
    /// The revision that it last reported; `None` if it has reported none to the answering host.
    pub revision: Option<Revision>,
    /// Milliseconds since that report.
    pub reported_ms: Option<Millis>,
    /// Whether that revision is older than the one in force, or none was reported.
    pub lags: bool,
}
