//! Runs a stage that is not idempotent: claims it in the replicated log, sends it once and records the
//! outcome.

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
use super::run_once_call::RunOnceCall;
use super::run_once_outcome::{
    finish_command, propose_with_retries, record_outcome, release_claim,
};
use super::run_once_problem::{
    body_conflict, key_expired, no_log, no_quorum, outcome_unknown, still_running,
};
use super::run_stage::{call_and_record, retry_delay};
use super::stage_answer::StageAnswer;
use super::stage_context::StageContext;
use super::stage_error::StageError;
use crate::control::ControlError;
use crate::state::HostState;
use crate::telemetry::Span;

/// The timeout of a claim; long enough for the election of a new leader.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);
/// The wait before a claim with an unknown result is proposed again.
const CLAIM_RETRY_WAIT: Duration = Duration::from_millis(50);
/// The time after its deadline at which an unfinished claim counts as orphaned.
const ORPHAN_MARGIN: Millis = Millis::new(5_000);

/// Runs the stage, or answers from the record of an earlier request with the same key.
///
/// The future must run to completion: if it is dropped after the call was sent, no outcome is recorded.
pub(super) async fn run_once_stage(cx: &StageContext<'_>) -> Result<StageAnswer, StageError> {
    let state = &cx.worker.state;
    let refuse = |problem| Err(StageError::Refused(problem));
    let Some(control) = state.control.get().cloned() else { return refuse(no_log()) };
    let Some(key) = cx.caller.key.clone() else { return refuse(no_log()) };
    let key = CallKey { account: cx.caller.account.id.clone(), key };
    let run_once = RunOnceCall { control, key, request: cx.caller.id };
    let span = Span::start(cx.trace, "claim", state.clock.now());
    let claimed = claim(cx, &run_once).await;
    span.end(&state.log, state.clock.now(), cx.caller.id, cx.stage.name.as_str());
    match claimed {
        Ok(RunOnceReply::Granted) => send_once(cx, run_once).await,
        Ok(RunOnceReply::Found(found)) => answer_from_record(cx, &run_once, found),
        Ok(RunOnceReply::BodyConflict) => refuse(body_conflict()),
        Ok(RunOnceReply::KeyExpired) => refuse(key_expired()),
        Ok(RunOnceReply::Full(bound)) => {
            refuse(Problem::not_run(503, "records-full", bound.to_string()).with_retry_after(30))
        }
        Ok(other) => refuse(Problem::not_run(500, "claim-refused", format!("{other:?}"))),
        Err(ControlError::NotProposed(reason)) => refuse(no_quorum(&reason)),
        Err(ControlError::Unknown(reason)) => {
            // The claim may still be granted, but only this task could send the call, and it returns here.
            monoio::spawn(release_claim(state.clone(), run_once));
            refuse(no_quorum(&reason))
        }
    }
}

async fn claim(
    cx: &StageContext<'_>,
    run_once: &RunOnceCall,
) -> Result<RunOnceReply, ControlError> {
    let state = &cx.worker.state;
    let deadline = cx.time_left();
    let claim = Claim {
        call: run_once.key.clone(),
        body: cx.caller.body_digest,
        request: run_once.request,
        claimant: Claimant {
            host: state.cfg.host.clone(),
            incarnation: state.incarnation,
            deadline,
            proposed_at: state.clock.wall(),
        },
    };
    let command = Command::RunOnce(RunOnceCommand::Claim(Box::new(claim)));
    // Leaves half of the remaining time for the call.
    let limit = CLAIM_TIMEOUT.min(deadline.duration() / 2);
    let claim_deadline = state.clock.now().plus(limit);
    loop {
        let time_left = claim_deadline.since(state.clock.now());
        match run_once.control.propose(&command, time_left).await {
            Ok(reply) => return run_once_reply(reply),
            // Proposing a claim again is safe: it does not conflict with itself.
            Err(ControlError::Unknown(_)) if time_left > CLAIM_RETRY_WAIT => {
                monoio::time::sleep(CLAIM_RETRY_WAIT).await;
            }
            Err(error) => return Err(error),
        }
    }
}

/// Sends the call. Tries another endpoint only if the previous attempt failed before it sent anything.
async fn send_once(
    cx: &StageContext<'_>,
    run_once: RunOnceCall,
) -> Result<StageAnswer, StageError> {
    let state = &cx.worker.state;
    let span = Span::start(cx.trace, "stage", state.clock.now());
    let mut tried = Vec::new();
    let result = loop {
        if state.clock.now() >= cx.caller.deadline {
            break Err(release_unsent(cx, &run_once, StageError::Deadline(cx.stage.name.clone())));
        }
        let attempt = match start_attempt(cx, span, &tried, false) {
            Ok(attempt) => attempt,
            Err(error) => break Err(release_unsent(cx, &run_once, error)),
        };
        tried.push(attempt.target.id.clone());
        let error = match call_and_record(cx, attempt).await {
            Ok(answer) => {
                record_outcome(cx, finish_command(&run_once, answer.output.get().as_bytes())).await;
                break Ok(answer);
            }
            Err(error) => error,
        };
        if error.may_have_run() || matches!(error, AttemptError::Refused { .. }) {
            break Err(record_failure(cx, &run_once, &error).await);
        }
        match retry_delay(cx, &error, tried.len()) {
            Ok(after) => monoio::time::sleep(after).await,
            Err(error) => break Err(release_unsent(cx, &run_once, error)),
        }
    };
    span.end(&state.log, state.clock.now(), cx.caller.id, cx.stage.name.as_str());
    result
}

/// Releases the claim of a call that was not sent, and returns the error for the caller.
fn release_unsent(cx: &StageContext<'_>, run_once: &RunOnceCall, error: StageError) -> StageError {
    monoio::spawn(release_claim(cx.worker.state.clone(), run_once.clone()));
    let problem = Problem::not_run(503, "call-not-sent", error.to_string());
    StageError::Refused(problem.with_retry_after(1))
}

/// Records that the call failed if the endpoint reported that it had no effect, otherwise that its outcome
/// is unknown.
async fn record_failure(
    cx: &StageContext<'_>,
    run_once: &RunOnceCall,
    error: &AttemptError,
) -> StageError {
    let (stage, detail) = (cx.stage.name.clone(), error.to_string());
    let (call, request) = (run_once.key.clone(), run_once.request);
    if let AttemptError::Refused { ran: false, .. } = error {
        let answer = RecordedAnswer::Kept(detail.as_bytes().into());
        let command = RunOnceCommand::Fail { call, request, answer };
        record_outcome(cx, (run_once.control.clone(), command)).await;
        return StageError::Failed(stage, detail.into());
    }
    let command = RunOnceCommand::ReportOrphaned { call, request };
    record_outcome(cx, (run_once.control.clone(), command)).await;
    StageError::Unknown(stage, detail.into())
}

/// Answers from the record of an earlier request with the same key.
fn answer_from_record(
    cx: &StageContext<'_>,
    run_once: &RunOnceCall,
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
            if is_orphaned(&cx.worker.state, &claimant) {
                let command =
                    RunOnceCommand::ReportOrphaned { call: run_once.key.clone(), request };
                let (state, control) = (cx.worker.state.clone(), run_once.control.clone());
                monoio::spawn(propose_with_retries(state, control, command));
                return Err(StageError::Refused(outcome_unknown()));
            }
            Err(StageError::Refused(still_running(request)))
        }
        CallStatus::Unknown | CallStatus::Released => Err(StageError::Refused(outcome_unknown())),
    }
}

/// Returns the recorded output, or `null` if the record is not JSON; hosts write only JSON.
fn recorded_output(answer: &RecordedAnswer) -> Box<RawValue> {
    let output = match answer {
        RecordedAnswer::Kept(bytes) => serde_json::from_slice(bytes),
        RecordedAnswer::Omitted { digest, length } => {
            to_raw_value(&json!({ "answer_not_kept": { "sha256": digest, "length": length } }))
        }
    };
    output.unwrap_or_else(|_| RawValue::NULL.to_owned())
}

/// Returns whether the process of the claimant has ended, or its deadline passed more than `ORPHAN_MARGIN`
/// ago. A claim that is reported as orphaned too early only has an unknown outcome until its claimant
/// records the result.
fn is_orphaned(state: &HostState, claimant: &Claimant) -> bool {
    let orphaned_after = claimant.proposed_at.get() + claimant.deadline.get() + ORPHAN_MARGIN.get();
    state.has_process_ended(&claimant.host, claimant.incarnation)
        || state.clock.wall().get() > orphaned_after
}

fn run_once_reply(reply: Reply) -> Result<RunOnceReply, ControlError> {
    match reply {
        Reply::RunOnce(reply) => Ok(reply),
        other => Err(ControlError::Unknown(format!("unexpected reply {other:?}").into())),
    }
}
