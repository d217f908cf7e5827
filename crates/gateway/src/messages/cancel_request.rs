use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Ends a stage whose request has ended.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct CancelRequest {
    /// The request.
    pub call: CallId,
    /// The position of the stage.
    pub stage: u32,
}
