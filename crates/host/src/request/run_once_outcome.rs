//! Records the outcomes of run-once calls in the replicated log.

use masticstair_policy::run_once::{RecordedAnswer, RunOnceCommand};
use masticstair_store::state::Command;
use slog::warn;
use std::sync::Arc;
use std::time::Duration;

use super::run_once_call::RunOnceCall;
use super::stage_context::StageContext;
use crate::control::ControlHandle;
use crate::state::HostState;

/// The timeout of one proposal of an outcome.
const RECORD_TIMEOUT: Duration = Duration::from_secs(3);
/// The number of proposals of an outcome; after the last one fails, the record stays claimed.
const RECORD_ATTEMPTS: u32 = 20;

pub(super) fn finish_command(
    run_once: &RunOnceCall,
    answer: &[u8],
) -> (ControlHandle, RunOnceCommand) {
    let (call, request) = (run_once.key.clone(), run_once.request);
    let answer = RecordedAnswer::Kept(answer.into());
    (run_once.control.clone(), RunOnceCommand::Finish { call, request, answer })
}

/// Records an outcome. Waits no longer than the deadline and then continues in the background, since the
/// answer to the caller is correct whether or not the outcome is recorded yet.
pub(super) async fn record_outcome(
    cx: &StageContext<'_>,
    (control, command): (ControlHandle, RunOnceCommand),
) {
    let state = cx.worker.state.clone();
    let recording = monoio::spawn(propose_with_retries(state, control, command));
    let time_left = cx.time_left().duration();
    // The task continues after its handle is dropped.
    let _ = monoio::time::timeout(time_left, recording).await;
}

/// Releases the claim of a call that was not sent, so that a repeated request with the key may run.
pub(super) async fn release_claim(state: Arc<HostState>, run_once: RunOnceCall) {
    let command = RunOnceCommand::Release {
        call: run_once.key,
        request: run_once.request,
        proposed_at: state.clock.wall(),
    };
    propose_with_retries(state, run_once.control, command).await;
}

/// Proposes the command until it is applied, at most `RECORD_ATTEMPTS` times.
pub(super) async fn propose_with_retries(
    state: Arc<HostState>,
    control: ControlHandle,
    command: RunOnceCommand,
) {
    let command = Command::RunOnce(command);
    for _ in 0..RECORD_ATTEMPTS {
        match control.propose(&command, RECORD_TIMEOUT).await {
            Ok(_) => return,
            // All run-once commands are idempotent, so one with an unknown result is proposed again.
            Err(_) => monoio::time::sleep(RECORD_TIMEOUT / 10).await,
        }
    }
    warn!(state.log, "cannot record the outcome of a run-once call; its record stays claimed";
        "command" => format!("{command:?}"));
}
