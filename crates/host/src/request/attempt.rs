//! One call of a stage to one endpoint.

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use masticstair_core::endpoint_api::*;
use masticstair_core::id::TraceParent;
use masticstair_core::prelude::*;
use masticstair_net::http::client::{Call, ClientBody, ResponseHead};
use masticstair_policy::routing::RouteRequest;

use super::attempt_error::AttemptError;
use super::attempt_target::AttemptTarget;
use super::run_request_ref::RunRequestRef;
use super::stage_answer::StageAnswer;
use super::stage_context::StageContext;
use super::stage_error::StageError;
use super::started_attempt::StartedAttempt;
use crate::telemetry::Span;
use crate::traffic::CallStart;

/// The number of headers of a call, including `Host` and `Content-Length`, which the client adds.
const CALL_HEADER_COUNT: usize = 7;

/// Chooses an endpoint, preferring those that this stage has not tried yet, and records the start of the
/// call.
pub(super) fn start_attempt(
    cx: &StageContext<'_>,
    stage_span: Span,
    tried: &[EndpointId],
    hedge: bool,
) -> Result<StartedAttempt, StageError> {
    let state = &cx.worker.state;
    let now = state.clock.now();
    let (pool, model) = (&cx.stage.pool, cx.stage.model.as_ref());
    let candidates = state.candidates(pool, model);
    let start = CallStart {
        key: &cx.keys[0],
        pipeline: &cx.caller.pipeline.name,
        local_data_centre: &state.cfg.data_centre,
        candidates: &candidates,
        route: RouteRequest { tried, hedge, may_probe: cx.stage.idempotent && tried.is_empty() },
        draw: cx.draw(),
    };
    let started = state.traffic.begin_call(&start);
    let (position, guard) = started.ok_or_else(|| StageError::NoEndpoint(pool.clone()))?;
    let record = &candidates[position].record;
    Ok(StartedAttempt {
        target: AttemptTarget { id: record.id.clone(), addr: record.address },
        span: Span::start(stage_span.context, "attempt", now),
        guard,
    })
}

/// Calls the endpoint without streaming and verifies that the answer has the ids of this call.
pub(super) async fn call_whole(
    cx: &StageContext<'_>,
    started: &StartedAttempt,
) -> Result<StageAnswer, AttemptError> {
    let target = &started.target;
    let attempt = cx.new_attempt();
    let call = build_call(cx, target, attempt, started.span.context, None);
    let fetched = cx.worker.pool.fetch(call).await;
    let (head, body) = fetched.map_err(|e| AttemptError::Transport(target.id.clone(), e))?;
    if !head.status.is_success() {
        return Err(read_refusal(cx, target, attempt, &head, &body));
    }
    match serde_json::from_slice::<StageAnswer>(&body) {
        Ok(answer) if answer.request_id == cx.caller.id && answer.attempt_id == attempt => {
            Ok(answer)
        }
        _ => Err(mismatched_answer(cx, target)),
    }
}

/// Starts a streaming call and returns the id of the attempt and the response body.
pub(super) async fn open_stream(
    cx: &StageContext<'_>,
    started: &StartedAttempt,
    resume: Option<Resume>,
) -> Result<(AttemptId, ClientBody), AttemptError> {
    let target = &started.target;
    let attempt = cx.new_attempt();
    let call = build_call(cx, target, attempt, started.span.context, Some(resume));
    let sent = cx.worker.pool.send(call).await;
    let (head, body) = sent.map_err(|e| AttemptError::Transport(target.id.clone(), e))?;
    if head.status.is_success() {
        return Ok((attempt, body));
    }
    let body = body.read_all().await.unwrap_or_default();
    Err(read_refusal(cx, target, attempt, &head, &body))
}

/// Counts an answer that has the ids of another call or cannot be parsed, and returns its error.
pub(super) fn mismatched_answer(cx: &StageContext<'_>, target: &AttemptTarget) -> AttemptError {
    cx.worker.state.metrics.mismatched_answers.inc();
    // The right answer may still be due on the connection, which the next call would get.
    cx.worker.pool.evict(target.addr);
    AttemptError::MismatchedAnswer(target.id.clone())
}

/// `stream` is `None` for a non-streamed answer, `Some(None)` for a new stream, and otherwise holds the
/// position where an interrupted stream resumes.
fn build_call(
    cx: &StageContext<'_>,
    target: &AttemptTarget,
    attempt: AttemptId,
    trace: TraceParent,
    stream: Option<Option<Resume>>,
) -> Call {
    let timeout = cx.time_left();
    let run = RunRequestRef {
        request_id: cx.caller.id,
        attempt_id: attempt,
        pipeline: &cx.caller.pipeline.name,
        stage: &cx.stage.name,
        kind: cx.stage.kind,
        model: cx.stage.model.as_ref(),
        account: &cx.caller.account.id,
        input: cx.input,
        stream: stream.is_some(),
        resume_from: stream.as_ref().and_then(Option::as_ref),
    };
    Call {
        addr: target.addr,
        method: Method::POST,
        path: "/v1/run".into(),
        headers: build_headers(cx, attempt, trace, timeout),
        // Serialization of plain JSON types cannot fail.
        body: Bytes::from(serde_json::to_vec(&run).unwrap_or_default()),
        timeout,
        reuse: cx.stage.idempotent,
    }
}

fn build_headers(
    cx: &StageContext<'_>,
    attempt: AttemptId,
    trace: TraceParent,
    timeout: Millis,
) -> HeaderMap {
    let mut headers = HeaderMap::with_capacity(CALL_HEADER_COUNT);
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(HeaderName::from_static(ATTEMPT_ID_HEADER), attempt.get().into());
    headers.insert(HeaderName::from_static(DEADLINE_HEADER), timeout.get().into());
    let mut set = |name: &'static str, value: String| {
        // `from_maybe_shared` takes over the bytes without a copy.
        if let Ok(value) = HeaderValue::from_maybe_shared(Bytes::from(value)) {
            headers.insert(HeaderName::from_static(name), value);
        }
    };
    set(REQUEST_ID_HEADER, cx.caller.id.to_string());
    set(TRACEPARENT_HEADER, trace.to_string());
    headers
}

fn read_refusal(
    cx: &StageContext<'_>,
    target: &AttemptTarget,
    attempt: AttemptId,
    head: &ResponseHead,
    body: &[u8],
) -> AttemptError {
    match serde_json::from_slice::<RunError>(body) {
        Ok(e) if e.request_id == cx.caller.id && e.attempt_id == attempt => AttemptError::Refused {
            endpoint: target.id.clone(),
            status: head.status.as_u16(),
            error: e.error,
            ran: e.ran,
        },
        _ => mismatched_answer(cx, target),
    }
}
