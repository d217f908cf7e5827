//! Runs a stage that must not be repeated: claimed in the replicated log, sent once, its outcome recorded.

use masticstair_core::endpoint_api::Usage;
use masticstair_core::prelude::*;
use masticstair_policy::run_once::{
    CallKey, CallStatus, Claim, Claimant, RecordedAnswer, RunOnceCommand, RunOnceReply,
};
use masticstair_store::state::{Command, Reply};
use serde_json::json;
use serde_json::value::{RawValue, to_raw_value};
use std::time::Duration;

use super::attempt::start_attempt;
use super::attempt_error::AttemptError;
use super::run_once_problem::{
    body_conflict, key_expired, no_log, no_quorum, outcome_unknown, still_running,
};
use super::run_once_record::{CallRecord, finish, propose_until_recorded, record_outcome, release};
use super::run_stage::{decide, finish_call};
use super::stage_answer::StageAnswer;
use super::stage_context::StageContext;
use super::stage_error::StageError;
use crate::control::ControlError;
use crate::state::HostState;
use crate::telemetry::Span;

/// How long a claim may take at the most; a new leader is elected within this time.
const CLAIM_LIMIT: Duration = Duration::from_secs(2);
/// The wait before a claim whose outcome is unknown is proposed again.
const CLAIM_RETRY_WAIT: Duration = Duration::from_millis(50);
/// How long after its deadline a claim counts as orphaned.
const ORPHAN_MARGIN: Millis = Millis::new(5_000);

/// Runs the stage, or answers from the record of an earlier request under the same key.
///
/// The future must run to its end: a request that is dropped after the send would leave no outcome.
pub(super) async fn run_once_stage(cx: &StageContext<'_>) -> Result<StageAnswer, StageError> {
    let state = &cx.cx.state;
    let refuse = |problem| Err(StageError::Refused(problem));
    let Some(control) = state.control.get().cloned() else { return refuse(no_log()) };
    let Some(key) = cx.caller.key.clone() else { return refuse(no_log()) };
    let call = CallKey { account: cx.caller.account.id.clone(), key };
    let record = CallRecord { control, call, request: cx.caller.id };
    let span = Span::start(cx.trace, "claim", state.clock.now());
    let claimed = claim(cx, &record).await;
    span.end(&state.log, state.clock.now(), cx.caller.id, cx.stage.name.as_str());
    match claimed {
        Ok(RunOnceReply::Granted) => send_once(cx, record).await,
        Ok(RunOnceReply::Found(found)) => answer_found(cx, &record, found),
        Ok(RunOnceReply::BodyConflict) => refuse(body_conflict()),
        Ok(RunOnceReply::KeyExpired) => refuse(key_expired()),
        Ok(RunOnceReply::Full(bound)) => {
            refuse(Problem::not_run(503, "records-full", bound.to_string()).with_retry_after(30))
        }
        Ok(other) => refuse(Problem::not_run(500, "claim-refused", format!("{other:?}"))),
        Err(ControlError::NotProposed(reason)) => refuse(no_quorum(&reason)),
        Err(ControlError::Unknown(reason)) => {
            // The claim may be granted later, but only this task could send the call, and it ends here.
            monoio::spawn(release(state.clone(), record));
            refuse(no_quorum(&reason))
        }
    }
}

async fn claim(cx: &StageContext<'_>, record: &CallRecord) -> Result<RunOnceReply, ControlError> {
    let state = &cx.cx.state;
    let deadline = cx.time_left();
    let claim = Claim {
        call: record.call.clone(),
        body: cx.caller.body_digest,
        request: record.request,
        claimant: Claimant {
            host: state.cfg.host.clone(),
            incarnation: state.incarnation,
            deadline,
            proposed_at: state.clock.wall(),
        },
    };
    let command = Command::RunOnce(RunOnceCommand::Claim(Box::new(claim)));
    // Half of the time is left for the call itself.
    let limit = CLAIM_LIMIT.min(deadline.duration() / 2);
    let give_up = state.clock.now().plus(limit);
    loop {
        let left = give_up.since(state.clock.now());
        match record.control.propose(&command, left).await {
            Ok(reply) => return run_once_reply(reply),
            // A claim may be proposed again: it never conflicts with itself.
            Err(ControlError::Unknown(_)) if left > CLAIM_RETRY_WAIT => {
                monoio::time::sleep(CLAIM_RETRY_WAIT).await;
            }
            Err(error) => return Err(error),
        }
    }
}

/// Sends the call. Only a connection that was never made allows another endpoint.
async fn send_once(cx: &StageContext<'_>, record: CallRecord) -> Result<StageAnswer, StageError> {
    let state = &cx.cx.state;
    let span = Span::start(cx.trace, "stage", state.clock.now());
    let mut tried = Vec::new();
    let result = loop {
        if state.clock.now() >= cx.caller.deadline {
            break Err(give_up(cx, &record, StageError::Deadline(cx.stage.name.clone())));
        }
        let attempt = match start_attempt(cx, span, &tried, false) {
            Ok(attempt) => attempt,
            Err(error) => break Err(give_up(cx, &record, error)),
        };
        tried.push(attempt.target.id.clone());
        let error = match finish_call(cx, attempt).await {
            Ok(answer) => {
                record_outcome(cx, finish(&record, answer.output.get().as_bytes())).await;
                break Ok(answer);
            }
            Err(error) => error,
        };
        if error.may_have_run() || matches!(error, AttemptError::Refused { .. }) {
            break Err(settle_failure(cx, &record, &error).await);
        }
        match decide(cx, &error, tried.len()) {
            Ok(after) => monoio::time::sleep(after).await,
            Err(error) => break Err(give_up(cx, &record, error)),
        }
    };
    span.end(&state.log, state.clock.now(), cx.caller.id, cx.stage.name.as_str());
    result
}

/// Nothing was sent and nothing will be: releases the claim and says so.
fn give_up(cx: &StageContext<'_>, record: &CallRecord, error: StageError) -> StageError {
    monoio::spawn(release(cx.cx.state.clone(), record.clone()));
    let problem = Problem::not_run(503, "call-not-sent", error.to_string());
    StageError::Refused(problem.with_retry_after(1))
}

/// Records a failure by the endpoint's own word, or that the outcome is unknown.
async fn settle_failure(
    cx: &StageContext<'_>,
    record: &CallRecord,
    error: &AttemptError,
) -> StageError {
    let (stage, detail) = (cx.stage.name.clone(), error.to_string());
    let (call, request) = (record.call.clone(), record.request);
    if let AttemptError::Refused { ran: false, .. } = error {
        let answer = RecordedAnswer::Kept(detail.as_bytes().into());
        let command = RunOnceCommand::Fail { call, request, answer };
        record_outcome(cx, (record.control.clone(), command)).await;
        return StageError::Failed(stage, detail.into());
    }
    let command = RunOnceCommand::ReportOrphaned { call, request };
    record_outcome(cx, (record.control.clone(), command)).await;
    StageError::Unknown(stage, detail.into())
}

/// Answers from the record of an earlier request under the same key.
fn answer_found(
    cx: &StageContext<'_>,
    record: &CallRecord,
    found: CallStatus,
) -> Result<StageAnswer, StageError> {
    match found {
        CallStatus::Done(answer) => {
            cx.replayed.set(true);
            Ok(StageAnswer {
                request_id: cx.caller.id,
                attempt_id: cx.new_attempt(),
                output: recorded_output(&answer),
                usage: Usage::default(),
            })
        }
        CallStatus::Failed(answer) => {
            cx.replayed.set(true);
            let detail = match answer {
                RecordedAnswer::Kept(bytes) => String::from_utf8_lossy(&bytes).into_owned(),
                RecordedAnswer::Omitted { .. } => "the endpoint said that it failed".to_owned(),
            };
            Err(StageError::Failed(cx.stage.name.clone(), detail.into()))
        }
        CallStatus::Running { request, claimant } => {
            if is_orphaned(&cx.cx.state, &claimant) {
                let command = RunOnceCommand::ReportOrphaned { call: record.call.clone(), request };
                let (state, control) = (cx.cx.state.clone(), record.control.clone());
                monoio::spawn(propose_until_recorded(state, control, command));
                return Err(StageError::Refused(outcome_unknown()));
            }
            Err(StageError::Refused(still_running(request)))
        }
        CallStatus::Unknown | CallStatus::Released => Err(StageError::Refused(outcome_unknown())),
    }
}

/// Returns `null` for a record that is no JSON, which no host writes.
fn recorded_output(answer: &RecordedAnswer) -> Box<RawValue> {
    let output = match answer {
        RecordedAnswer::Kept(bytes) => serde_json::from_slice(bytes),
        RecordedAnswer::Omitted { digest, length } => {
            to_raw_value(&json!({ "answer_not_kept": { "sha256": digest, "length": length } }))
        }
    };
    output.unwrap_or_else(|_| RawValue::NULL.to_owned())
}

/// A record that is called orphaned too early only turns unknown until its claimant reports the result.
fn is_orphaned(state: &HostState, claimant: &Claimant) -> bool {
    let late = claimant.proposed_at.get() + claimant.deadline.get() + ORPHAN_MARGIN.get();
    state.has_process_ended(&claimant.host, claimant.incarnation) || state.clock.wall().get() > late
}

fn run_once_reply(reply: Reply) -> Result<RunOnceReply, ControlError> {
    match reply {
        Reply::RunOnce(reply) => Ok(reply),
        other => Err(ControlError::Unknown(format!("unexpected reply {other:?}").into())),
    }
}
