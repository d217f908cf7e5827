use masticstair_core::endpoint_api::{RunRequest, Usage};
use serde_json::{Value, json};
use std::time::Duration;

use super::StageWork;

/// The speed of a model engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineSpeed {
    /// Time for each token of the prompt.
    pub prefill_per_token: Duration,
    /// Time for each token that is made.
    pub decode_per_token: Duration,
}

/// Tokens of an answer when the caller names no number.
const DEFAULT_TOKENS: u64 = 8;
/// The number of tokens that the stand-in makes at the most.
const MAX_TOKENS: u64 = 4_096;

/// Makes the work of a generation. The answer repeats the topic of the caller's own request, so that an
/// answer to another request can be recognised.
pub fn engine_work(req: &RunRequest, speed: EngineSpeed) -> StageWork {
    let request = req.input.get("request").unwrap_or(&req.input);
    let topic = request.get("topic").and_then(Value::as_str).unwrap_or("answer");
    let count = request.get("tokens").and_then(Value::as_u64).unwrap_or(DEFAULT_TOKENS);
    let count = count.clamp(1, MAX_TOKENS);
    let tokens: Vec<Box<str>> = (0..count).map(|i| format!("{topic}-{i} ").into()).collect();
    let prompt = (req.input.to_string().len() / 4) as u64;
    StageWork {
        time: speed.prefill_per_token * prompt as u32 + speed.decode_per_token,
        output: json!({ "text": tokens.concat() }),
        tokens,
        token_time: speed.decode_per_token,
        stamped: false,
        usage: Usage {
            input_tokens: prompt.into(),
            output_tokens: count.into(),
            ..Usage::default()
        },
    }
}
