use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A live host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostStatus {
    /// The host.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Where its peers reach it.
    pub peer_address: SocketAddr,
    /// The life of its process.
    pub incarnation: Incarnation,
    /// Whether it left probes unanswered.
    pub suspected: bool,
    /// The revision that it reported last; none when it has reported none to the answering host.
    pub revision: Option<Revision>,
    /// Milliseconds since that report.
    pub reported_ms: Option<Millis>,
    /// Whether that is older than the revision in force.
    pub lags: bool,
}
