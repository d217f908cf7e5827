use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::Usage;
use crate::id::{AttemptId, RequestId};

/// The response to `POST /v1/run` without streaming. `T` is the type of the output; a host that only
/// forwards the output keeps it as JSON text.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RunResponse<T = Value> {
    /// Copied from the request.
    pub request_id: RequestId,
    /// Copied from the request.
    pub attempt_id: AttemptId,
    /// The result of the stage.
    pub output: T,
    /// All zero if the endpoint reports none.
    #[serde(default)]
    pub usage: Usage,
}
