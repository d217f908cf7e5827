use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Tells another host that an endpoint has stated that it is leaving.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DepartureNotice {
    /// The endpoint that leaves.
    pub endpoint: EndpointId,
    /// Its process; a later one starts afresh.
    pub incarnation: Incarnation,
}
