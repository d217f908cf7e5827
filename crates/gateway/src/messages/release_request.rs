use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Releases results of a stage service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReleaseRequest {
    pub service: ServiceName,
    pub results: Vec<ResultHandle>,
}
