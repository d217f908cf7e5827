use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Cancels a stage whose request has ended.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct CancelRequest {
    /// The client request that the stage belongs to.
    pub call: CallId,
    /// The position of the stage in its route.
    pub stage: u32,
}
