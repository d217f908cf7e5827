use serde::{Deserialize, Serialize};

use super::Usage;
use crate::id::{AttemptId, RequestId};
use crate::unit::TokenCount;

/// The event `end` of a streamed response.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StreamEnd {
    /// Copied from the request.
    pub request_id: RequestId,
    /// Copied from the request.
    pub attempt_id: AttemptId,
    /// The number of tokens of the whole answer, including those before a resume.
    pub tokens: TokenCount,
    /// All zero if the endpoint reports none.
    #[serde(default)]
    pub usage: Usage,
}
