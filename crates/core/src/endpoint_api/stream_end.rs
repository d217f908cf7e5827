use serde::{Deserialize, Serialize};

use super::Usage;
use crate::id::{AttemptId, RequestId};
use crate::unit::TokenCount;

/// The event `end` of a streamed answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StreamEnd {
    /// Echo of the request.
    pub request_id: RequestId,
    /// Echo of the attempt.
    pub attempt_id: AttemptId,
    /// The number of tokens of the whole answer, those before a resume included.
    pub tokens: TokenCount,
    /// What the call cost.
    #[serde(default)]
    pub usage: Usage,
}
