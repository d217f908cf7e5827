//! Streams the last stage to the caller and goes on with another engine when a stream breaks.

use masticstair_core::endpoint_api::{Resume, StreamEnd, StreamToken, Usage};
use masticstair_core::prelude::*;
use masticstair_net::http::client::ClientBody;
use masticstair_net::http::server::{BodyClosed, BodySender};
use masticstair_net::http::sse::{SseEvent, SseParser};

use super::answer::AnswerToken;
use super::attempt::{StartedAttempt, Target, foreign, open_stream, start_attempt};
use super::attempt_error::AttemptError;
use super::run_stage::{count_attempt, decide};
use super::stage_context::StageContext;
use super::stage_error::StageError;
use crate::telemetry::Span;

/// The largest event of an engine.
const MAX_EVENT: ByteCount = ByteCount::new(65_536);

/// The text that has reached the caller.
#[derive(Debug, Default)]
pub(super) struct Delivered {
    pub(super) tokens: TokenCount,
    pub(super) text: String,
}

/// How streaming to the caller ended without the whole answer.
pub(super) enum StreamError {
    /// The stage failed.
    Stage(StageError),
    /// The caller closed the connection.
    Closed,
}

/// How reading one engine's stream ended early.
enum ReadError {
    Attempt(AttemptError),
    Closed,
}

pub(super) async fn stream_stage(
    cx: &StageContext<'_>,
    tx: &mut BodySender,
    delivered: &mut Delivered,
) -> Result<Usage, StreamError> {
    let state = &cx.cx.state;
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
                guard.succeed(usage);
                span.end(&state.log, state.clock.now(), cx.caller.id, cx.stage.name.as_str());
                return Ok(usage);
            }
            Err(ReadError::Closed) => return Err(StreamError::Closed),
            Err(ReadError::Attempt(e)) => {
                guard.fail();
                let after = decide(cx, &e, tried.len()).map_err(StreamError::Stage)?;
                monoio::time::sleep(after).await;
            }
        }
    }
}

/// Streams from one engine, from the first token that the caller has not got.
async fn stream_from(
    cx: &StageContext<'_>,
    started: &StartedAttempt,
    tx: &mut BodySender,
    delivered: &mut Delivered,
) -> Result<Usage, ReadError> {
    let resume = (delivered.tokens.get() > 0)
        .then(|| Resume { index: delivered.tokens, text: delivered.text.as_str().into() });
    let opened = open_stream(cx, started, resume).await;
    let (attempt, body) = opened.map_err(ReadError::Attempt)?;
    read_stream(cx, started, attempt, body, tx, delivered).await
}

/// Passes the tokens of one engine on to the caller, each by itself.
async fn read_stream(
    cx: &StageContext<'_>,
    started: &StartedAttempt,
    attempt: AttemptId,
    mut body: ClientBody,
    tx: &mut BodySender,
    delivered: &mut Delivered,
) -> Result<Usage, ReadError> {
    let mut parser = SseParser::new(MAX_EVENT);
    let target = &started.target;
    let cut = |delivered: &Delivered| {
        ReadError::Attempt(AttemptError::StreamCut(target.id.clone(), delivered.tokens))
    };
    loop {
        while let Some(event) = parser.next_event().map_err(|_| cut(delivered))? {
            if let Some(usage) = take_event(cx, target, attempt, &event, tx, delivered).await? {
                return Ok(usage);
            }
            started.guard.progress(delivered.tokens);
        }
        let left = cx.time_left().duration();
        match monoio::time::timeout(left, body.next()).await {
            Ok(Ok(Some(piece))) => parser.push(&piece).map_err(|_| cut(delivered))?,
            Ok(Ok(None) | Err(_)) | Err(_) => return Err(cut(delivered)),
        }
    }
}

/// Returns the usage when the event was the last one.
async fn take_event(
    cx: &StageContext<'_>,
    target: &Target,
    attempt: AttemptId,
    event: &SseEvent,
    tx: &mut BodySender,
    delivered: &mut Delivered,
) -> Result<Option<Usage>, ReadError> {
    let reject = || ReadError::Attempt(foreign(cx, target));
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
            let ours = end.request_id == cx.caller.id && end.attempt_id == attempt;
            if !ours || end.tokens != delivered.tokens {
                return Err(reject());
            }
            Ok(Some(end.usage))
        }
        _ => Ok(None),
    }
}

/// Sends a token on, unless the caller has it already.
async fn deliver_token(
    token: StreamToken,
    tx: &mut BodySender,
    delivered: &mut Delivered,
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
