//! Runs the stages of a request in order under a common deadline.

use http::{HeaderName, HeaderValue, StatusCode};
use masticstair_core::bundle::StageKind;
use masticstair_core::id::TraceParent;
use masticstair_core::prelude::*;
use masticstair_net::http::server::{BodySender, Response, body_stream};
use masticstair_net::http::sse::SseEvent;
use masticstair_policy::admission::check_stage;
use std::rc::Rc;

use super::delivered_text::DeliveredText;
use super::pipeline_progress::PipelineProgress;
use super::run_stage::run_stage;
use super::stage_context::StageContext;
use super::stage_error::StageError;
use super::stage_input::StageInput;
use super::stream_error::StreamError;
use super::stream_stage::stream_stage;
use super::{Answer, AnswerEnd, CallerRequest, WorkerContext};
use crate::state::InFlight;
use crate::telemetry::Span;
use crate::traffic::{AdmissionError, AdmissionRequest, Permit, StageKey};

/// Runs the request and answers with one JSON document.
///
/// A pipeline that is not idempotent runs in a task of its own: it completes even if the caller
/// disconnects, so that the outcome of its run-once calls is recorded.
pub(super) async fn whole_answer(
    cx: Rc<WorkerContext>,
    caller: CallerRequest,
    span: Span,
    in_flight: InFlight,
) -> Response {
    if caller.pipeline.is_idempotent() {
        return run_whole(cx, caller, span, in_flight).await;
    }
    monoio::spawn(run_whole(cx, caller, span, in_flight)).await
}

async fn run_whole(
    cx: Rc<WorkerContext>,
    caller: CallerRequest,
    span: Span,
    in_flight: InFlight,
) -> Response {
    let mut progress = PipelineProgress::new(&caller);
    let count = caller.pipeline.stages.len();
    let result = match admit_request(&cx, &caller, span.context, &progress.keys).await {
        Ok(_permit) => run_stages(&cx, &caller, span.context, &mut progress, count).await,
        Err(error) => Err(error),
    };
    drop(in_flight);
    let response = match result {
        Ok(()) => {
            finish_request(&cx, &caller, span, "complete");
            let (request_id, revision) = (caller.id, caller.config.revision);
            let output = progress.output.as_deref();
            let answer = Answer { request_id, revision, output, cost: progress.cost };
            Response::json(StatusCode::OK, &answer)
        }
        Err(error) => Response::problem(&finish_with_problem(&cx, &caller, span, error)),
    };
    if !progress.replayed.get() {
        return response;
    }
    let name = HeaderName::from_static("idempotent-replayed");
    response.with_header(name, HeaderValue::from_static("true"))
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
                finish_request(&cx, &caller, span, "complete");
                SseEvent::encode_json("end", &end)
            }
            Err(StreamError::Closed) => {
                finish_request(&cx, &caller, span, "cancelled");
                return;
            }
            Err(StreamError::Stage(error)) => {
                SseEvent::encode_json("error", &finish_with_problem(&cx, &caller, span, error))
            }
        };
        // A send error means that the caller closed the connection; the request is complete either way.
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
    let mut progress = PipelineProgress::new(caller);
    let _permit =
        admit_request(cx, caller, trace, &progress.keys).await.map_err(StreamError::Stage)?;
    let last = caller.pipeline.stages.len() - 1;
    let stages = run_stages(cx, caller, trace, &mut progress, last);
    stages.await.map_err(StreamError::Stage)?;
    let stage = &caller.pipeline.stages[last];
    let input = StageInput { request: &caller.body, previous: progress.output.as_deref() };
    let (next_attempt, replayed) = (&progress.next_attempt, &progress.replayed);
    let keys = &progress.keys[last..];
    let stage_cx =
        StageContext { worker: cx, caller, stage, input, keys, trace, replayed, next_attempt };
    check_deadline(&stage_cx).map_err(StreamError::Stage)?;
    let mut delivered = DeliveredText::default();
    let usage = stream_stage(&stage_cx, tx, &mut delivered).await?;
    cx.state.traffic.record_answer_size(&caller.pipeline.name, delivered.tokens);
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

/// Runs the first `count` stages and stores the output of the last one in `progress`.
async fn run_stages(
    cx: &WorkerContext,
    caller: &CallerRequest,
    trace: TraceParent,
    progress: &mut PipelineProgress,
    count: usize,
) -> Result<(), StageError> {
    for (i, stage) in caller.pipeline.stages[..count].iter().enumerate() {
        let input = StageInput { request: &caller.body, previous: progress.output.as_deref() };
        let (next_attempt, replayed) = (&progress.next_attempt, &progress.replayed);
        let keys = &progress.keys[i..];
        let stage_cx =
            StageContext { worker: cx, caller, stage, input, keys, trace, replayed, next_attempt };
        check_deadline(&stage_cx)?;
        let answer = run_stage(&stage_cx).await?;
        if stage.kind == StageKind::Generate {
            cx.state.traffic.record_answer_size(&caller.pipeline.name, answer.usage.output_tokens);
        }
        progress.add_cost(&stage.name, answer.usage);
        progress.output = Some(answer.output);
    }
    Ok(())
}

/// Waits until the limits of the account and of the host allow the request to run.
async fn admit_request(
    cx: &WorkerContext,
    caller: &CallerRequest,
    trace: TraceParent,
    keys: &[StageKey],
) -> Result<Permit, StageError> {
    let state = &cx.state;
    let span = Span::start(trace, "queue", state.clock.now());
    let request = AdmissionRequest {
        account: &caller.account.id,
        limits: caller.local_limits(),
        class: caller.work_class(),
        deadline: caller.deadline,
        pipeline: &caller.pipeline.name,
        keys,
    };
    let admitted = state.traffic.admit(&request).await;
    span.end(&state.log, state.clock.now(), caller.id, caller.account.id.as_str());
    admitted.map_err(|e| StageError::Refused(admission_problem(&e)))
}

fn admission_problem(error: &AdmissionError) -> Problem {
    match error {
        AdmissionError::DeadlineUnreachable(late) => {
            Problem::not_run(503, "deadline-unreachable", error.to_string())
                .with_retry_after(late.retry_after_s)
        }
        AdmissionError::QueueFull(_) => {
            Problem::not_run(429, "queue-full", error.to_string()).with_retry_after(1)
        }
    }
}

/// Fails if this stage and those after it cannot complete before the deadline.
fn check_deadline(cx: &StageContext<'_>) -> Result<(), StageError> {
    let state = &cx.worker.state;
    let (stages, contended) = (cx.remaining_stages(), state.traffic.waiting() > 0);
    let checked = check_stage(state.clock.now(), cx.caller.deadline, &stages, contended);
    checked.map_err(|_| StageError::Deadline(cx.stage.name.clone()))
}

/// Finishes a request that gave no answer; returns the problem document for the caller.
fn finish_with_problem(
    cx: &WorkerContext,
    caller: &CallerRequest,
    span: Span,
    error: StageError,
) -> Problem {
    let problem = error.into_problem(caller.pipeline.is_idempotent()).with_request(caller.id);
    let outcome = match problem.outcome {
        RefusalOutcome::NotRun => "not_run",
        RefusalOutcome::Failed => "failed",
        RefusalOutcome::Unknown => "unknown",
    };
    finish_request(cx, caller, span, outcome);
    problem
}

/// Counts the request in the metrics and ends its span.
fn finish_request(cx: &WorkerContext, caller: &CallerRequest, span: Span, outcome: &'static str) {
    let state = &cx.state;
    let now = state.clock.now();
    state.metrics.count_request(&caller.pipeline.name, outcome, now.since(caller.arrived));
    span.end(&state.log, now, caller.id, outcome);
}
