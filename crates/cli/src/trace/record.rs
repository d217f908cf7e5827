use masticstair_core::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::Expectation;

/// One request of a trace.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TraceRecord {
    /// When it is sent, from the start of the replay.
    pub at_ms: Millis,
    /// The pipeline.
    pub pipeline: PipelineName,
    /// The client account; its token is given to the replay.
    pub account: AccountId,
    /// The deadline.
    pub deadline_ms: Millis,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
    /// The key under which it runs at most once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<IdempotencyKey>,
    /// The body.
    pub body: Value,
    /// A text that only the answer to this request contains.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub marker: Option<Box<str>>,
    /// The stated outcome.
    pub expect: Expectation,
}
