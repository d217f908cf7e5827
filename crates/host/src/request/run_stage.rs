//! Runs one stage: chooses endpoints and repeats calls where that is allowed.

use masticstair_core::endpoint_api::{RunResponse, Usage};
use masticstair_core::prelude::*;

use super::attempt::{Target, call_whole};
use super::attempt_error::AttemptError;
use super::stage_context::StageContext;
use super::stage_error::StageError;
use crate::telemetry::Span;

/// Calls of one stage at the most.
const MAX_ATTEMPTS: usize = 3;

pub(super) async fn run_stage(cx: &StageContext<'_>) -> Result<RunResponse, StageError> {
    let state = &cx.cx.state;
    if !cx.stage.idempotent {
        return Err(StageError::Refused(no_replicated_log()));
    }
    let span = Span::start(cx.trace, "stage", state.clock.now());
    let mut tried = Vec::new();
    let result = loop {
        let target = choose_target(cx, &tried)?;
        tried.push(target.id.clone());
        let attempt_span = Span::start(span.context, "attempt", state.clock.now());
        let result = call_whole(cx, &target, attempt_span.context).await;
        attempt_span.end(&state.log, state.clock.now(), cx.caller.id, target.id.as_str());
        count_attempt(cx, &result);
        match result {
            Ok(answer) => break Ok(answer),
            Err(e) => {
                if let Some(error) = final_error(cx, e, tried.len()) {
                    break Err(error);
                }
            }
        }
    };
    span.end(&state.log, state.clock.now(), cx.caller.id, cx.stage.name.as_str());
    result
}

/// Returns the error to report, or `None` when another call is allowed.
pub(super) fn final_error(
    cx: &StageContext<'_>,
    error: AttemptError,
    attempts: usize,
) -> Option<StageError> {
    let stage = cx.stage.name.clone();
    let detail = error.to_string().into();
    if !cx.stage.idempotent && error.may_have_run() {
        return Some(StageError::Unknown(stage, detail));
    }
    if cx.time_left().get() == 0 {
        return Some(StageError::Deadline(stage));
    }
    (attempts >= MAX_ATTEMPTS).then_some(StageError::Failed(stage, detail))
}

pub(super) fn choose_target(
    cx: &StageContext<'_>,
    tried: &[EndpointId],
) -> Result<Target, StageError> {
    let state = &cx.cx.state;
    let ready = state.endpoints.ready(state.clock.now(), &cx.stage.pool);
    let fresh = ready.iter().find(|(id, _)| !tried.contains(id));
    let (id, announcement) =
        fresh.or(ready.first()).ok_or_else(|| StageError::NoEndpoint(cx.stage.pool.clone()))?;
    Ok(Target { id: id.clone(), addr: announcement.address })
}

fn count_attempt(cx: &StageContext<'_>, result: &Result<RunResponse, AttemptError>) {
    let (outcome, usage) = match result {
        Ok(answer) => ("ok", answer.usage),
        Err(_) => ("error", Usage::default()),
    };
    let metrics = &cx.cx.state.metrics;
    metrics.count_call(&cx.caller.pipeline.name, &cx.stage.name, outcome, usage);
}

/// A call that must not be repeated needs its durable record first.
fn no_replicated_log() -> Problem {
    let detail = "this host has no replicated log, which a call that must not be repeated needs";
    Problem::not_run(503, "no-replicated-log", detail)
}
