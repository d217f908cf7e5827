use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};

/// The event `token` of a streamed answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AnswerToken {
    /// The position of the token in the answer: starts at 0 and has no gaps.
    pub index: TokenCount,
    /// The text to append to that of the earlier tokens.
    pub text: Box<str>,
}
