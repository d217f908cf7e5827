use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::Usage;
use crate::id::{AttemptId, RequestId};

/// The whole answer to `POST /v1/run`. A host that only passes the output on keeps it as JSON text.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RunResponse<T = Value> {
    /// Echo of the request.
    pub request_id: RequestId,
    /// Echo of the attempt.
    pub attempt_id: AttemptId,
    /// What the stage made.
    pub output: T,
    /// What the call cost.
    #[serde(default)]
    pub usage: Usage,
}
