use serde::{Deserialize, Serialize};

use crate::id::{AttemptId, RequestId};

/// The body of an error answer to `POST /v1/run`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RunError {
    /// Echo of the request.
    pub request_id: RequestId,
    /// Echo of the attempt.
    pub attempt_id: AttemptId,
    /// What went wrong.
    pub error: Box<str>,
    /// Whether the call may have had an effect.
    pub ran: bool,
}
