use masticstair_core::endpoint_api::Usage;
use serde_json::Value;
use std::time::Duration;

/// The simulated work of one call: its duration and its output.
#[derive(Clone, Debug)]
pub struct StageWork {
    /// Time until the first token, or until the whole output when there are no tokens.
    pub time: Duration,
    /// The output of a call that is not streamed.
    pub output: Value,
    /// The tokens of a stream; empty for work that generates none.
    pub tokens: Vec<Box<str>>,
    /// Time between two tokens.
    pub token_time: Duration,
    /// Whether a streamed token carries its send time (see `stamp_now`) in place of its text.
    pub stamped: bool,
    /// The usage that the response reports. The stand-in overwrites the engine time with the measured time and,
    /// in streams, the output tokens with the number sent.
    pub usage: Usage,
}
