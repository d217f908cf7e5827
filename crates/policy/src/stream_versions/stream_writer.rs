use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::directory::ServingEndpoint;

/// What wrote the first event of a stream.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct StreamWriter {
    /// The service of the endpoint.
    pub service: ServiceName,
    /// The software of the endpoint; none if it states no version.
    pub software: Option<SoftwareVersion>,
}

impl StreamWriter {
    /// Returns the writer of what an endpoint writes.
    pub fn of(endpoint: &ServingEndpoint) -> Self {
        Self { service: endpoint.service.clone(), software: endpoint.software.clone() }
    }

    /// Returns whether an endpoint may go on with the stream.
    pub fn may_continue(&self, endpoint: &ServingEndpoint) -> bool {
        self.service == endpoint.service && self.software == endpoint.software
    }
}
