use masticstair_core::endpoint_api::{RunRequest, Usage};
use serde_json::{Value, json};

use super::{EngineSpeed, StageWork};

/// Output tokens when the request does not give a number.
const DEFAULT_OUTPUT_TOKENS: u64 = 8;
/// The largest number of output tokens; larger requests are clamped to it.
const MAX_OUTPUT_TOKENS: u64 = 4_096;

/// Returns the work of a generation. The output repeats the topic of the request, so that tests can detect an
/// answer to another request. The prompt counts one token for every 4 bytes of input.
pub fn engine_work(req: &RunRequest, speed: EngineSpeed) -> StageWork {
    let request = req.input.get("request").unwrap_or(&req.input);
    let topic = request.get("topic").and_then(Value::as_str).unwrap_or("answer");
    let count = request.get("tokens").and_then(Value::as_u64).unwrap_or(DEFAULT_OUTPUT_TOKENS);
    let count = count.clamp(1, MAX_OUTPUT_TOKENS);
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
