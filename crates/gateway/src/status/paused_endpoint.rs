use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};

/// An endpoint that has asked a host for a pause.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PausedEndpoint {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The time until the pause ends.
    pub left: Millis,
}
