use serde::{Deserialize, Serialize};

use crate::unit::TokenCount;

/// The point from which an endpoint continues a stream that was interrupted.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Resume {
    /// The index of the first token to generate.
    pub index: TokenCount,
    /// The text of the tokens before it.
    pub text: Box<str>,
}
