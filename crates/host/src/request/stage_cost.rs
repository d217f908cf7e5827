use masticstair_core::endpoint_api::Usage;
use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};

/// The usage that one stage of a request reported.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StageCost {
    /// The name of the stage in the pipeline of the bundle.
    pub stage: StageName,
    /// Its fields are written beside the name of the stage; zero for a replayed run-once call.
    #[serde(flatten)]
    pub usage: Usage,
}
