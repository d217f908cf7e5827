//! Runs the stages of a request in order under one deadline.

use http::StatusCode;
use masticstair_core::endpoint_api::Usage;
use masticstair_core::id::TraceParent;
use masticstair_core::prelude::*;
use masticstair_net::http::server::{BodySender, Response, body_stream};
use masticstair_net::http::sse::SseEvent;
use serde_json::{Value, json};
use std::cell::Cell;
use std::rc::Rc;

use super::answer::{Answer, AnswerEnd, StageCost};
use super::run_stage::run_stage;
use super::stage_context::StageContext;
use super::stage_error::StageError;
use super::stream_stage::{Delivered, StreamError, stream_stage};
use super::{CallerRequest, WorkerContext};
use crate::state::InFlight;
use crate::telemetry::Span;

/// How far a request has come.
struct Progress {
    /// The input of the next stage.
    input: Value,
    cost: Vec<StageCost>,
    next_attempt: Cell<u32>,
}

impl Progress {
    fn new(caller: &CallerRequest) -> Self {
        Self { input: caller.body.clone(), cost: Vec::new(), next_attempt: Cell::new(1) }
    }

    fn add_cost(&mut self, stage: &StageName, usage: Usage) {
        self.cost.push(StageCost { stage: stage.clone(), usage });
    }
}

/// Runs the request and answers with one document.
pub(super) async fn whole_answer(
    cx: Rc<WorkerContext>,
    caller: CallerRequest,
    span: Span,
    in_flight: InFlight,
) -> Response {
    let mut progress = Progress::new(&caller);
    let count = caller.pipeline.stages.len();
    let result = run_stages(&cx, &caller, span.context, &mut progress, count).await;
    drop(in_flight);
    match result {
        Ok(output) => {
            finish(&cx, &caller, span, "complete");
            let (request_id, revision) = (caller.id, caller.config.revision);
            let answer = Answer { request_id, revision, output, cost: progress.cost };
            Response::json(StatusCode::OK, &answer)
        }
        Err(error) => Response::problem(&refuse(&cx, &caller, span, error)),
    }
}

/// Runs the request and answers with server-sent events.
pub(super) fn stream_answer(
    cx: Rc<WorkerContext>,
    caller: CallerRequest,
    span: Span,
    in_flight: InFlight,
) -> Response {
    let (mut tx, rx) = body_stream();
    monoio::spawn(async move {
        let result = run_stream(&cx, &caller, span.context, &mut tx).await;
        let event = match result {
            Ok(end) => {
                finish(&cx, &caller, span, "complete");
                SseEvent::encode_json("end", &end)
            }
            Err(StreamError::Closed) => {
                finish(&cx, &caller, span, "cancelled");
                return;
            }
            Err(StreamError::Stage(error)) => {
                SseEvent::encode_json("error", &refuse(&cx, &caller, span, error))
            }
        };
        // The caller may have closed the connection; the request has ended either way.
        let _ = tx.send(event).await;
        drop(in_flight);
    });
    Response::events(rx)
}

async fn run_stream(
    cx: &WorkerContext,
    caller: &CallerRequest,
    trace: TraceParent,
    tx: &mut BodySender,
) -> Result<AnswerEnd, StreamError> {
    let mut progress = Progress::new(caller);
    let last = caller.pipeline.stages.len() - 1;
    let stages = run_stages(cx, caller, trace, &mut progress, last);
    stages.await.map_err(StreamError::Stage)?;
    let stage = &caller.pipeline.stages[last];
    let input = std::mem::take(&mut progress.input);
    let next_attempt = &progress.next_attempt;
    let stage_cx = StageContext { cx, caller, stage, input: &input, trace, next_attempt };
    let mut delivered = Delivered::default();
    let usage = stream_stage(&stage_cx, tx, &mut delivered).await?;
    progress.add_cost(&stage.name, usage);
    Ok(AnswerEnd {
        request_id: caller.id,
        revision: caller.config.revision,
        tokens: delivered.tokens,
        length: ByteCount::new(delivered.text.len() as u64),
        sha256: Sha256Digest::of(delivered.text.as_bytes()),
        cost: progress.cost,
    })
}

/// Runs the first `count` stages and returns the output of the last of them.
async fn run_stages(
    cx: &WorkerContext,
    caller: &CallerRequest,
    trace: TraceParent,
    progress: &mut Progress,
    count: usize,
) -> Result<Value, StageError> {
    let mut output = Value::Null;
    for stage in &caller.pipeline.stages[..count] {
        let input = std::mem::take(&mut progress.input);
        let next_attempt = &progress.next_attempt;
        let stage_cx = StageContext { cx, caller, stage, input: &input, trace, next_attempt };
        if stage_cx.time_left().get() == 0 {
            return Err(StageError::Deadline(stage.name.clone()));
        }
        let answer = run_stage(&stage_cx).await?;
        progress.add_cost(&stage.name, answer.usage);
        progress.input = json!({ "request": caller.body, "previous": answer.output });
        output = answer.output;
    }
    Ok(output)
}

fn refuse(cx: &WorkerContext, caller: &CallerRequest, span: Span, error: StageError) -> Problem {
    let problem = error.into_problem(caller.pipeline.is_idempotent()).with_request(caller.id);
    let outcome = match problem.outcome {
        RefusalOutcome::NotRun => "not_run",
        RefusalOutcome::Failed => "failed",
        RefusalOutcome::Unknown => "unknown",
    };
    finish(cx, caller, span, outcome);
    problem
}

fn finish(cx: &WorkerContext, caller: &CallerRequest, span: Span, outcome: &'static str) {
    let state = &cx.state;
    let now = state.clock.now();
    state.metrics.count_request(&caller.pipeline.name, outcome, now.since(caller.arrived));
    span.end(&state.log, now, caller.id, outcome);
}
