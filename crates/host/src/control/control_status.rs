use masticstair_core::prelude::*;
use masticstair_store::consensus::NodeStatus;

/// The state of the control thread, for the admin status.
#[derive(Clone, Debug)]
pub struct ControlStatus {
    /// The local replica; `None` on a host without a data folder.
    pub node: Option<NodeStatus>,
    /// The leader that the local replica knows, otherwise the host that last answered or was named as
    /// the leader.
    pub leader: Option<HostId>,
}
