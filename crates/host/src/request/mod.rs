//! Handles requests of callers: validation, admission, the stages of the pipeline, the answer.

mod accept;
mod answer;
mod answer_end;
mod answer_token;
mod attempt;
mod attempt_error;
mod attempt_target;
mod caller_request;
mod delivered_text;
mod pipeline_progress;
mod run_once_call;
mod run_once_outcome;
mod run_once_problem;
mod run_once_stage;
mod run_pipeline;
mod run_request_ref;
mod run_stage;
mod stage_answer;
mod stage_context;
mod stage_cost;
mod stage_error;
mod stage_input;
mod started_attempt;
mod stream_error;
mod stream_stage;
mod worker_context;

pub use answer::Answer;
pub use answer_end::AnswerEnd;
pub use answer_token::AnswerToken;
pub(crate) use caller_request::CallerRequest;
pub use stage_cost::StageCost;
pub use worker_context::WorkerContext;

use http::HeaderValue;
use masticstair_core::prelude::*;
use masticstair_net::http::server::{Request, Response};
use std::rc::Rc;

use crate::telemetry::Span;

/// Handles `POST /v1/pipelines/{pipeline}`.
pub async fn handle_pipeline(cx: Rc<WorkerContext>, pipeline: &str, req: Request) -> Response {
    let state = cx.state.clone();
    let arrived = state.clock.now();
    let Some(in_flight) = state.drain.enter() else {
        return Response::problem(&host_leaving()).closing();
    };
    let caller = match accept::accept_request(&state, arrived, pipeline, &req) {
        Ok(caller) => caller,
        Err(problem) => return Response::problem(&problem),
    };
    let span = Span::start(caller.trace, "request", arrived);
    let traceparent = span.context.to_string();
    let mut response = if caller.stream {
        run_pipeline::stream_answer(cx, caller, span, in_flight)
    } else {
        run_pipeline::whole_answer(cx, caller, span, in_flight).await
    };
    if let Ok(value) = HeaderValue::from_str(&traceparent) {
        response.headers.insert("traceparent", value);
    }
    response
}

fn host_leaving() -> Problem {
    Problem::not_run(503, "host-leaving", "this host is shutting down").with_retry_after(1)
}
