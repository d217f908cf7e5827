//! Runs one stage: chooses endpoints, and retries or hedges calls where the policy allows it.

use futures_util::future::{Either, select};
use masticstair_core::endpoint_api::Usage;
use masticstair_core::prelude::*;
use masticstair_policy::retry::{
    AttemptProgress, AttemptView, ExtraCall, HedgeView, RetryDecision, hedge_delay, next_attempt,
};
use std::pin::{Pin, pin};
use std::time::Duration;

use super::attempt::{call_whole, start_attempt};
use super::attempt_error::AttemptError;
use super::run_once_stage::run_once_stage;
use super::stage_answer::StageAnswer;
use super::stage_context::StageContext;
use super::stage_error::StageError;
use super::started_attempt::StartedAttempt;
use crate::telemetry::Span;

/// Runs a stage that is not streamed.
pub(super) async fn run_stage(cx: &StageContext<'_>) -> Result<StageAnswer, StageError> {
    if !cx.stage.idempotent {
        return run_once_stage(cx).await;
    }
    let state = &cx.worker.state;
    let span = Span::start(cx.trace, "stage", state.clock.now());
    let mut tried = Vec::new();
    let result = loop {
        match call_with_hedge(cx, span, &mut tried).await {
            Ok(answer) => break Ok(answer),
            Err(CallError::Stage(error)) => break Err(error),
            Err(CallError::Attempt(error)) => match retry_delay(cx, &error, tried.len()) {
                Ok(after) => monoio::time::sleep(after).await,
                Err(error) => break Err(error),
            },
        }
    };
    span.end(&state.log, state.clock.now(), cx.caller.id, cx.stage.name.as_str());
    result
}

/// Why a call, with its hedge if there was one, gave no answer.
enum CallError {
    /// The stage cannot continue.
    Stage(StageError),
    /// The attempt failed; a retry may be allowed.
    Attempt(AttemptError),
}

/// Calls one endpoint. If the answer is unusually late and the deadline at risk, sends a hedge to a second
/// endpoint and takes the first answer.
async fn call_with_hedge(
    cx: &StageContext<'_>,
    span: Span,
    tried: &mut Vec<EndpointId>,
) -> Result<StageAnswer, CallError> {
    let first = start_attempt(cx, span, tried, false).map_err(CallError::Stage)?;
    tried.push(first.target.id.clone());
    let delay = hedge_delay_of(cx, &first);
    let mut call = pin!(call_and_record(cx, first));
    let Some(delay) = delay else { return call.await.map_err(CallError::Attempt) };
    match select(call.as_mut(), pin!(monoio::time::sleep(delay))).await {
        Either::Left((result, _)) => return result.map_err(CallError::Attempt),
        Either::Right(_) => {}
    }
    let hedge = start_attempt(cx, span, tried, true).ok().filter(|_| charge_hedge(cx));
    let Some(hedge) = hedge else { return call.await.map_err(CallError::Attempt) };
    tried.push(hedge.target.id.clone());
    first_answer(call, pin!(call_and_record(cx, hedge))).await.map_err(CallError::Attempt)
}

/// Returns the first successful result of two calls, or an error if both fail. The slower call is dropped,
/// which closes its connection and so cancels it.
async fn first_answer<T, E>(
    a: Pin<&mut impl Future<Output = Result<T, E>>>,
    b: Pin<&mut impl Future<Output = Result<T, E>>>,
) -> Result<T, E> {
    match select(a, b).await {
        Either::Left((Ok(answer), _)) | Either::Right((Ok(answer), _)) => Ok(answer),
        Either::Left((Err(_), other)) => other.await,
        Either::Right((Err(_), other)) => other.await,
    }
}

/// Makes a call and records its result in the traffic estimates and the metrics.
pub(super) async fn call_and_record(
    cx: &StageContext<'_>,
    attempt: StartedAttempt,
) -> Result<StageAnswer, AttemptError> {
    let state = &cx.worker.state;
    let result = call_whole(cx, &attempt).await;
    let StartedAttempt { target, span, guard } = attempt;
    span.end(&state.log, state.clock.now(), cx.caller.id, target.id.as_str());
    match &result {
        Ok(answer) => guard.record_success(answer.usage),
        Err(_) => guard.record_failure(),
    }
    count_attempt(cx, result.as_ref().ok().map(|answer| answer.usage));
    result
}

/// Charges a hedge to the retry budget; returns whether the budget allows it. Call this only after an
/// endpoint was found, since a charge is not refunded.
fn charge_hedge(cx: &StageContext<'_>) -> bool {
    let state = &cx.worker.state;
    let now = state.clock.now();
    state.traffic.with_budget(|budget| budget.try_take(now, ExtraCall::Hedge)).is_ok()
}

fn hedge_delay_of(cx: &StageContext<'_>, sent: &StartedAttempt) -> Option<Duration> {
    let view = HedgeView {
        idempotent: cx.stage.idempotent,
        sent: sent.guard.latency,
        pool: sent.guard.pool_latency,
        later_stages: cx.later_stages_work(),
        deadline: cx.caller.deadline,
    };
    hedge_delay(cx.worker.state.clock.now(), &view)
}

/// Returns the delay before a retry, or the error of the stage if no retry is allowed.
pub(super) fn retry_delay(
    cx: &StageContext<'_>,
    error: &AttemptError,
    attempts: usize,
) -> Result<Duration, StageError> {
    let stage = cx.stage.name.clone();
    let detail = error.to_string().into();
    if !cx.stage.idempotent && error.may_have_run() {
        return Err(StageError::Unknown(stage, detail));
    }
    let state = &cx.worker.state;
    let now = state.clock.now();
    if now >= cx.caller.deadline {
        return Err(StageError::Deadline(stage));
    }
    let view = AttemptView {
        idempotent: cx.stage.idempotent,
        progress: if error.may_have_run() {
            AttemptProgress::MaybeSent
        } else {
            AttemptProgress::NothingSent
        },
        attempts: attempts as u32,
        deadline: cx.caller.deadline,
        expected: cx.expected_work(),
    };
    let draw = cx.draw();
    match state.traffic.with_budget(|budget| next_attempt(now, budget, &view, draw)) {
        RetryDecision::Retry { after } => Ok(after),
        RetryDecision::Stop(refusal) => {
            Err(StageError::Failed(stage, format!("{error}; {refusal}").into()))
        }
    }
}

/// Counts a call in the metrics; `usage` is `None` if it failed.
pub(super) fn count_attempt(cx: &StageContext<'_>, usage: Option<Usage>) {
    let outcome = if usage.is_some() { "ok" } else { "error" };
    let metrics = &cx.worker.state.metrics;
    let usage = usage.unwrap_or_default();
    metrics.count_call(&cx.caller.pipeline.name, &cx.stage.name, outcome, usage);
}
