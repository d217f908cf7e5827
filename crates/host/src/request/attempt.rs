//! One call of a stage to one endpoint.

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use masticstair_core::endpoint_api::*;
use masticstair_core::id::TraceParent;
use masticstair_core::prelude::*;
use masticstair_net::http::client::{Call, ClientBody, ResponseHead};
use masticstair_policy::routing::RouteRequest;
use std::net::SocketAddr;

use super::attempt_error::AttemptError;
use super::run_message::RunMessage;
use super::stage_answer::StageAnswer;
use super::stage_context::StageContext;
use super::stage_error::StageError;
use crate::telemetry::Span;
use crate::traffic::{CallGuard, CallStart};

/// Headers of a call, with `Host` and `Content-Length`, which are set when it is sent.
const HEADERS: usize = 7;

/// The endpoint of an attempt.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub(super) id: EndpointId,
    pub(super) addr: SocketAddr,
}

/// An attempt whose endpoint is chosen.
pub(super) struct StartedAttempt {
    pub(super) target: Target,
    pub(super) span: Span,
    pub(super) guard: CallGuard,
}

/// Chooses an endpoint that this stage has not tried, while there is one.
pub(super) fn start_attempt(
    cx: &StageContext<'_>,
    stage_span: Span,
    tried: &[EndpointId],
    hedge: bool,
) -> Result<StartedAttempt, StageError> {
    let state = &cx.cx.state;
    let now = state.clock.now();
    let (pool, model) = (&cx.stage.pool, cx.stage.model.as_ref());
    let candidates = state.candidates(pool, model);
    let start = CallStart {
        key: &cx.keys[0],
        pipeline: &cx.caller.pipeline.name,
        home: &state.cfg.data_centre,
        candidates: &candidates,
        route: RouteRequest { tried, hedge, may_probe: cx.stage.idempotent && tried.is_empty() },
        draw: cx.draw(),
    };
    let started = state.traffic.begin_call(&start);
    let (position, guard) = started.ok_or_else(|| StageError::NoEndpoint(pool.clone()))?;
    let record = &candidates[position].record;
    Ok(StartedAttempt {
        target: Target { id: record.id.clone(), addr: record.address },
        span: Span::start(stage_span.context, "attempt", now),
        guard,
    })
}

/// Calls the endpoint and returns its whole answer, checked to belong to this call.
pub(super) async fn call_whole(
    cx: &StageContext<'_>,
    started: &StartedAttempt,
) -> Result<StageAnswer, AttemptError> {
    let target = &started.target;
    let attempt = cx.new_attempt();
    let call = build_call(cx, target, attempt, started.span.context, None);
    let fetched = cx.cx.pool.fetch(call).await;
    let (head, body) = fetched.map_err(|e| AttemptError::Transport(target.id.clone(), e))?;
    if !head.status.is_success() {
        return Err(refusal(cx, target, attempt, &head, &body));
    }
    match serde_json::from_slice::<StageAnswer>(&body) {
        Ok(answer) if answer.request_id == cx.caller.id && answer.attempt_id == attempt => {
            Ok(answer)
        }
        _ => Err(foreign(cx, target)),
    }
}

/// Calls the endpoint for a stream and returns the number of the attempt and the open body.
pub(super) async fn open_stream(
    cx: &StageContext<'_>,
    started: &StartedAttempt,
    resume: Option<Resume>,
) -> Result<(AttemptId, ClientBody), AttemptError> {
    let target = &started.target;
    let attempt = cx.new_attempt();
    let call = build_call(cx, target, attempt, started.span.context, Some(resume));
    let sent = cx.cx.pool.send(call).await;
    let (head, body) = sent.map_err(|e| AttemptError::Transport(target.id.clone(), e))?;
    if head.status.is_success() {
        return Ok((attempt, body));
    }
    let body = body.read_all().await.unwrap_or_default();
    Err(refusal(cx, target, attempt, &head, &body))
}

/// Counts and reports an answer that belongs to another call.
pub(super) fn foreign(cx: &StageContext<'_>, target: &Target) -> AttemptError {
    cx.cx.state.metrics.mismatched_answers.inc();
    AttemptError::Foreign(target.id.clone())
}

/// `stream` is `None` for a whole answer, otherwise where the stream goes on.
fn build_call(
    cx: &StageContext<'_>,
    target: &Target,
    attempt: AttemptId,
    trace: TraceParent,
    stream: Option<Option<Resume>>,
) -> Call {
    let timeout = cx.time_left();
    let run = RunMessage {
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
        // A structure of plain JSON types always encodes.
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
    let mut headers = HeaderMap::with_capacity(HEADERS);
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(HeaderName::from_static(ATTEMPT_ID_HEADER), attempt.get().into());
    headers.insert(HeaderName::from_static(DEADLINE_HEADER), timeout.get().into());
    let mut set = |name: &'static str, value: String| {
        // The text is moved into the value, not copied.
        if let Ok(value) = HeaderValue::from_maybe_shared(Bytes::from(value)) {
            headers.insert(HeaderName::from_static(name), value);
        }
    };
    set(REQUEST_ID_HEADER, cx.caller.id.to_string());
    set(TRACEPARENT_HEADER, trace.to_string());
    headers
}

fn refusal(
    cx: &StageContext<'_>,
    target: &Target,
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
        _ => foreign(cx, target),
    }
}
