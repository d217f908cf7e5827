//! Records the outcome of a run-once call in the replicated log.

use masticstair_policy::run_once::{RecordedAnswer, RunOnceCommand};
use masticstair_store::state::Command;
use slog::warn;
use std::sync::Arc;
use std::time::Duration;

use super::run_once_call::RunOnceCall;
use super::stage_context::StageContext;
use crate::control::ControlHandle;
use crate::state::HostState;

/// How long one attempt to record an outcome may take.
const RECORD_TIMEOUT: Duration = Duration::from_secs(3);
/// How often recording an outcome is tried; the record stays claimed after that.
const RECORD_ATTEMPTS: u32 = 20;

pub(super) fn finish_command(
    run_once: &RunOnceCall,
    answer: &[u8],
) -> (ControlHandle, RunOnceCommand) {
    let (call, request) = (run_once.key.clone(), run_once.request);
    let answer = RecordedAnswer::Kept(answer.into());
    (run_once.control.clone(), RunOnceCommand::Finish { call, request, answer })
}

/// Records an outcome. Waits until the deadline at the most and goes on in the background after that: the
/// outcome is true whether it is recorded or not.
pub(super) async fn record_outcome(
    cx: &StageContext<'_>,
    (control, command): (ControlHandle, RunOnceCommand),
) {
    let state = cx.worker.state.clone();
    let recording = monoio::spawn(propose_until_recorded(state, control, command));
    let time_left = cx.time_left().duration();
    // Dropping the handle leaves the task running.
    let _ = monoio::time::timeout(time_left, recording).await;
}

pub(super) async fn release(state: Arc<HostState>, run_once: RunOnceCall) {
    let command = RunOnceCommand::Release {
        call: run_once.key,
        request: run_once.request,
        proposed_at: state.clock.wall(),
    };
    propose_until_recorded(state, run_once.control, command).await;
}

pub(super) async fn propose_until_recorded(
    state: Arc<HostState>,
    control: ControlHandle,
    command: RunOnceCommand,
) {
    let command = Command::RunOnce(command);
    for _ in 0..RECORD_ATTEMPTS {
        match control.propose(&command, RECORD_TIMEOUT).await {
            Ok(_) => return,
            // Every command of this table may be applied twice, so an unknown outcome is tried again.
            Err(_) => monoio::time::sleep(RECORD_TIMEOUT / 10).await,
        }
    }
    warn!(state.log, "outcome of a run-once call not recorded"; "command" => format!("{command:?}"));
}
