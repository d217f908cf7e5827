use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};

/// The event `token` towards a caller.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AnswerToken {
    /// The position of the token from 0; consecutive.
    pub index: TokenCount,
    /// Its text.
    pub text: Box<str>,
}
