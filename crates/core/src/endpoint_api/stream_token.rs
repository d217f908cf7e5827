use serde::{Deserialize, Serialize};

use crate::id::{AttemptId, RequestId};
use crate::unit::TokenCount;

/// The event `token` of a streamed response.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StreamToken {
    /// Copied from the request.
    pub request_id: RequestId,
    /// Copied from the request.
    pub attempt_id: AttemptId,
    /// The index of the token, from 0 and without gaps.
    pub index: TokenCount,
    /// The text that the token adds to the answer.
    pub text: Box<str>,
}
