use masticstair_core::endpoint_api::Usage;
use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};

/// What a stage of a request cost.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StageCost {
    /// The stage.
    pub stage: StageName,
    /// Its cost.
    #[serde(flatten)]
    pub usage: Usage,
}
