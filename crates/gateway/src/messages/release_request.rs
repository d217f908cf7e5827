use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Gives up results of a stage service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReleaseRequest {
    /// The service.
    pub service: ServiceName,
    /// The results.
    pub results: Vec<ResultHandle>,
}
