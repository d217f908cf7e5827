//! Raises the floor of key times while this host leads.

use masticstair_policy::run_once::RunOnceCommand;
use masticstair_store::consensus::{Node, Role};
use masticstair_store::state::Command;
use std::time::Duration;

use super::control_context::ControlContext;

/// How often the floor rises; the work of one step stays small.
const RAISE_INTERVAL: Duration = Duration::from_secs(10);
/// How long a proposal may take.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Expires run-once records after their retention.
pub(super) async fn raise_floor(cx: ControlContext, node: Node) {
    loop {
        monoio::time::sleep(RAISE_INTERVAL).await;
        if node.status().role == Role::Leader {
            let now = cx.state.clock.wall();
            let command = Command::RunOnce(RunOnceCommand::RaiseFloor { now });
            // A proposal that fails is made again with the next step.
            let _ = node.propose(command.encode(), PROPOSE_TIMEOUT).await;
        }
    }
}
