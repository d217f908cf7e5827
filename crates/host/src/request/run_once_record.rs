//! Records the outcome of a run-once call in the replicated log.

use masticstair_core::prelude::*;
use masticstair_policy::run_once::{CallKey, RecordedAnswer, RunOnceCommand};
use masticstair_store::state::Command;
use slog::warn;
use std::sync::Arc;
use std::time::Duration;

use super::stage_context::StageContext;
use crate::control::ControlHandle;
use crate::state::HostState;

/// How long one attempt to record an outcome may take.
const RECORD_LIMIT: Duration = Duration::from_secs(3);
/// How often recording an outcome is tried; the record stays claimed after that.
const RECORD_ATTEMPTS: u32 = 20;

/// What the call of a stage and its record are known by.
#[derive(Clone)]
pub(super) struct CallRecord {
    pub(super) control: ControlHandle,
    pub(super) call: CallKey,
    pub(super) request: RequestId,
}

pub(super) fn finish(record: &CallRecord, answer: &[u8]) -> (ControlHandle, RunOnceCommand) {
    let (call, request) = (record.call.clone(), record.request);
    let answer = RecordedAnswer::Kept(answer.into());
    (record.control.clone(), RunOnceCommand::Finish { call, request, answer })
}

/// Records an outcome. Waits until the deadline at the most and goes on in the background after that: the
/// outcome is true whether it is recorded or not.
pub(super) async fn record_outcome(
    cx: &StageContext<'_>,
    (control, command): (ControlHandle, RunOnceCommand),
) {
    let state = cx.cx.state.clone();
    let recording = monoio::spawn(propose_until_recorded(state, control, command));
    let left = cx.time_left().duration();
    // Dropping the handle leaves the task running.
    let _ = monoio::time::timeout(left, recording).await;
}

pub(super) async fn release(state: Arc<HostState>, record: CallRecord) {
    let command = RunOnceCommand::Release {
        call: record.call,
        request: record.request,
        proposed_at: state.clock.wall(),
    };
    propose_until_recorded(state, record.control, command).await;
}

pub(super) async fn propose_until_recorded(
    state: Arc<HostState>,
    control: ControlHandle,
    command: RunOnceCommand,
) {
    let command = Command::RunOnce(command);
    for _ in 0..RECORD_ATTEMPTS {
        match control.propose(&command, RECORD_LIMIT).await {
            Ok(_) => return,
            // Every command of this table may be applied twice, so an unknown outcome is tried again.
            Err(_) => monoio::time::sleep(RECORD_LIMIT / 10).await,
        }
    }
    warn!(state.log, "outcome of a run-once call not recorded"; "command" => format!("{command:?}"));
}
