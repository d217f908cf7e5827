use masticstair_core::endpoint_api::{RunRequest, Usage};
use serde_json::{Value, json};
use std::time::Duration;

use super::{CallLog, CallRecord, StageWork};

/// Returns the work of an encoder, retriever or reranker, with a fixed output for each kind.
pub fn pool_work(req: &RunRequest, time: Duration) -> StageWork {
    let output = match req.kind.as_str() {
        "encode" => json!({ "vector": [0.5, 0.25, 0.125] }),
        "retrieve" => json!({ "documents": ["d1", "d2", "d3"] }),
        _ => json!({ "documents": ["d2", "d1"] }),
    };
    whole_answer(output, time)
}

/// Returns the work of a lookup, which is idempotent.
pub fn lookup_work(req: &RunRequest, time: Duration) -> StageWork {
    let request = req.input.get("request").unwrap_or(&req.input);
    whole_answer(json!({ "found": request.get("topic").cloned() }), time)
}

/// Records the call and returns the work of an order, which must not run more than once.
pub fn order_work(req: &RunRequest, time: Duration, log: &CallLog) -> StageWork {
    log.record(CallRecord {
        request: req.request_id,
        account: req.account.clone(),
        input: req.input.clone(),
    });
    whole_answer(json!({ "recorded": req.request_id.to_string() }), time)
}

fn whole_answer(output: Value, time: Duration) -> StageWork {
    let usage = Usage::default();
    StageWork {
        time,
        output,
        tokens: Vec::new(),
        token_time: Duration::ZERO,
        stamped: false,
        usage,
    }
}
