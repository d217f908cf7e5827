use serde::{Deserialize, Serialize};

use crate::id::{AttemptId, RequestId};
use crate::unit::TokenCount;

/// The event `token` of a streamed answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StreamToken {
    /// Echo of the request.
    pub request_id: RequestId,
    /// Echo of the attempt.
    pub attempt_id: AttemptId,
    /// The position of the token from 0; consecutive.
    pub index: TokenCount,
    /// The text of the token.
    pub text: Box<str>,
}
