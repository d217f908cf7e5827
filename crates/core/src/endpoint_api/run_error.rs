use serde::{Deserialize, Serialize};

use crate::id::{AttemptId, RequestId};

/// The body of an error response to `POST /v1/run`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RunError {
    /// Copied from the request.
    pub request_id: RequestId,
    /// Copied from the request.
    pub attempt_id: AttemptId,
    /// A description of the error.
    pub error: Box<str>,
    /// Whether the call may have had an effect.
    pub ran: bool,
}
