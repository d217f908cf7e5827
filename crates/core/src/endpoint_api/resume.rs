use serde::{Deserialize, Serialize};

use crate::unit::TokenCount;

/// Where a broken stream goes on.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Resume {
    /// The index of the first token that is wanted.
    pub index: TokenCount,
    /// The text of the tokens before it.
    pub text: Box<str>,
}
