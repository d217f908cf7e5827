use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::StageCost;

/// The whole answer to a caller. The host passes the output on as JSON text.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Answer<T = Value> {
    /// The request.
    pub request_id: RequestId,
    /// The revision under which it ran.
    pub revision: Revision,
    /// The answer of the last stage.
    pub output: T,
    /// What each stage cost, in order.
    pub cost: Vec<StageCost>,
}
