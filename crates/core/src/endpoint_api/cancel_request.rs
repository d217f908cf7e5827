use serde::{Deserialize, Serialize};

use crate::id::{AttemptId, RequestId};

/// Tells an endpoint that nobody waits for a call: `POST /v1/cancel`.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct CancelRequest {
    /// The request.
    pub request_id: RequestId,
    /// The attempt.
    pub attempt_id: AttemptId,
}
