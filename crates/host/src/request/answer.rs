use masticstair_core::endpoint_api::Usage;
use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The whole answer to a caller. The host passes the output on as JSON text.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Answer<T = Value> {
    /// The request.
    pub request_id: RequestId,
    /// The revision under which it ran.
    pub revision: Revision,
    /// The answer of the last stage.
    pub output: T,
    /// What each stage cost, in order.
    pub cost: Vec<StageCost>,
}

/// What a stage of a request cost.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StageCost {
    /// The stage.
    pub stage: StageName,
    /// Its cost.
    #[serde(flatten)]
    pub usage: Usage,
}

/// The event `token` towards a caller.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AnswerToken {
    /// The position of the token from 0; consecutive.
    pub index: TokenCount,
    /// Its text.
    pub text: Box<str>,
}

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
