//! Streams the output of the last stage to the caller, and resumes at another endpoint if a stream breaks.

use masticstair_core::endpoint_api::{Resume, StreamEnd, StreamToken, Usage};
use masticstair_core::prelude::*;
use masticstair_net::http::client::ClientBody;
use masticstair_net::http::server::{BodyClosed, BodySender};
use masticstair_net::http::sse::{SseEvent, SseParser};

use super::AnswerToken;
use super::attempt::{mismatched_answer, open_stream, start_attempt};
use super::attempt_error::AttemptError;
use super::attempt_target::AttemptTarget;
use super::delivered_text::DeliveredText;
use super::run_stage::{count_attempt, retry_delay};
use super::stage_context::StageContext;
use super::started_attempt::StartedAttempt;
use super::stream_error::StreamError;
use crate::telemetry::Span;

/// The size limit of one server-sent event of an endpoint.
const MAX_EVENT_SIZE: ByteCount = ByteCount::new(65_536);

/// Why the stream of one endpoint ended early.
enum ReadError {
    /// The endpoint failed; the stream may resume at another one.
    Attempt(AttemptError),
    /// The caller closed the connection.
    Closed,
}

pub(super) async fn stream_stage(
    cx: &StageContext<'_>,
    tx: &mut BodySender,
    delivered: &mut DeliveredText,
) -> Result<Usage, StreamError> {
    let state = &cx.worker.state;
    let span = Span::start(cx.trace, "stage", state.clock.now());
    let mut tried = Vec::new();
    loop {
        let started = start_attempt(cx, span, &tried, false).map_err(StreamError::Stage)?;
        tried.push(started.target.id.clone());
        let read = stream_from(cx, &started, tx, delivered).await;
        let StartedAttempt { target, span: attempt_span, guard } = started;
        attempt_span.end(&state.log, state.clock.now(), cx.caller.id, target.id.as_str());
        count_attempt(cx, read.as_ref().ok().copied());
        match read {
            Ok(usage) => {
                guard.record_success(usage);
                span.end(&state.log, state.clock.now(), cx.caller.id, cx.stage.name.as_str());
                return Ok(usage);
            }
            Err(ReadError::Closed) => return Err(StreamError::Closed),
            Err(ReadError::Attempt(e)) => {
                guard.record_failure();
                let after = retry_delay(cx, &e, tried.len()).map_err(StreamError::Stage)?;
                monoio::time::sleep(after).await;
            }
        }
    }
}

/// Streams from one endpoint, starting at the first token that was not yet sent to the caller.
async fn stream_from(
    cx: &StageContext<'_>,
    started: &StartedAttempt,
    tx: &mut BodySender,
    delivered: &mut DeliveredText,
) -> Result<Usage, ReadError> {
    let resume = (delivered.tokens.get() > 0)
        .then(|| Resume { index: delivered.tokens, text: delivered.text.as_str().into() });
    let opened = open_stream(cx, started, resume).await;
    let (attempt, body) = opened.map_err(ReadError::Attempt)?;
    read_stream(cx, started, attempt, body, tx, delivered).await
}

/// Forwards the tokens of one endpoint to the caller, one event for each token.
async fn read_stream(
    cx: &StageContext<'_>,
    started: &StartedAttempt,
    attempt: AttemptId,
    mut body: ClientBody,
    tx: &mut BodySender,
    delivered: &mut DeliveredText,
) -> Result<Usage, ReadError> {
    let mut parser = SseParser::new(MAX_EVENT_SIZE);
    let target = &started.target;
    let incomplete = |delivered: &DeliveredText| {
        ReadError::Attempt(AttemptError::IncompleteStream(target.id.clone(), delivered.tokens))
    };
    loop {
        while let Some(event) = parser.next_event().map_err(|_| incomplete(delivered))? {
            if let Some(usage) = handle_event(cx, target, attempt, &event, tx, delivered).await? {
                return Ok(usage);
            }
            started.guard.record_progress(delivered.tokens);
        }
        let left = cx.time_left().duration();
        match monoio::time::timeout(left, body.next()).await {
            Ok(Ok(Some(chunk))) => parser.push(&chunk).map_err(|_| incomplete(delivered))?,
            Ok(Ok(None) | Err(_)) | Err(_) => return Err(incomplete(delivered)),
        }
    }
}

/// Handles one event; returns the usage if it was the `end` event. Unknown events are ignored.
async fn handle_event(
    cx: &StageContext<'_>,
    target: &AttemptTarget,
    attempt: AttemptId,
    event: &SseEvent,
    tx: &mut BodySender,
    delivered: &mut DeliveredText,
) -> Result<Option<Usage>, ReadError> {
    let reject = || ReadError::Attempt(mismatched_answer(cx, target));
    match event.name.as_ref() {
        "token" => {
            let token: StreamToken = serde_json::from_str(&event.data).map_err(|_| reject())?;
            if token.request_id != cx.caller.id || token.attempt_id != attempt {
                return Err(reject());
            }
            deliver_token(token, tx, delivered, reject).await?;
            Ok(None)
        }
        "end" => {
            let end: StreamEnd = serde_json::from_str(&event.data).map_err(|_| reject())?;
            let matches_call = end.request_id == cx.caller.id && end.attempt_id == attempt;
            if !matches_call || end.tokens != delivered.tokens {
                return Err(reject());
            }
            Ok(Some(end.usage))
        }
        _ => Ok(None),
    }
}

/// Forwards a token unless the caller already has it. A token after a gap is rejected.
async fn deliver_token(
    token: StreamToken,
    tx: &mut BodySender,
    delivered: &mut DeliveredText,
    reject: impl Fn() -> ReadError,
) -> Result<(), ReadError> {
    if token.index < delivered.tokens {
        return Ok(());
    }
    if token.index > delivered.tokens {
        return Err(reject());
    }
    delivered.text.push_str(&token.text);
    delivered.tokens = TokenCount::new(delivered.tokens.get() + 1);
    let token = AnswerToken { index: token.index, text: token.text };
    let sent = tx.send(SseEvent::encode_json("token", &token)).await;
    sent.map_err(|BodyClosed| ReadError::Closed)
}
