use masticstair_core::endpoint_api::Usage;
use serde_json::Value;
use std::time::Duration;

/// What one call does: how long it takes and what it makes.
#[derive(Clone, Debug)]
pub struct StageWork {
    /// Time before the whole answer, or before the first token.
    pub time: Duration,
    /// The whole answer.
    pub output: Value,
    /// The tokens of a streamed answer.
    pub tokens: Vec<Box<str>>,
    /// Time before each further token.
    pub token_time: Duration,
    /// Whether a streamed token carries the time of its sending in place of its text.
    pub stamped: bool,
    /// What the call costs; the engine's time is measured.
    pub usage: Usage,
}
