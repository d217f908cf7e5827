use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};

use super::StageCost;

/// The event `end` towards a caller; an answer without it is not whole.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AnswerEnd {
    /// The request.
    pub request_id: RequestId,
    /// The revision under which it ran.
    pub revision: Revision,
    /// The number of tokens.
    pub tokens: TokenCount,
    /// The length of the text of all tokens.
    pub length: ByteCount,
    /// The SHA-256 digest of that text.
    pub sha256: Sha256Digest,
    /// What each stage cost, in order.
    pub cost: Vec<StageCost>,
}
