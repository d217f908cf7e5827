//! Removes expired run-once records while the local replica leads, by raising the floor of key timestamps.

use masticstair_policy::run_once::RunOnceCommand;
use masticstair_store::consensus::Role;
use masticstair_store::state::Command;
use std::time::Duration;

use super::control_context::ControlContext;

/// Interval between two raises of the floor, short enough to keep the work of each one small.
const RAISE_INTERVAL: Duration = Duration::from_secs(10);
/// Timeout of the proposal.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Proposes to raise the floor to the current wall time minus the retention, at every interval. Records of
/// keys below the floor then expire.
pub(super) async fn raise_floor(cx: ControlContext) {
    loop {
        monoio::time::sleep(RAISE_INTERVAL).await;
        if let Some(node) = cx.node()
            && node.status().role == Role::Leader
        {
            let now = cx.state.clock.wall();
            let command = Command::RunOnce(RunOnceCommand::RaiseFloor { now });
            // A failed proposal needs no retry: the next interval proposes a later time.
            let _ = node.propose(command.encode(), PROPOSE_TIMEOUT).await;
        }
    }
}
