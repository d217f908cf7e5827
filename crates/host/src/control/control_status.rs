use masticstair_core::prelude::*;
use masticstair_store::consensus::NodeStatus;

/// The state of the control thread, for the admin status.
#[derive(Clone, Debug)]
pub struct ControlStatus {
    /// The local replica; `None` on a host without a data folder, or while that cannot be used.
    pub node: Option<NodeStatus>,
    /// Why the local replica acknowledges nothing; `None` while it works.
    pub replica_fault: Option<Box<str>>,
    /// The leader that the local replica knows, otherwise the host that last answered or was named as
    /// the leader.
    pub leader: Option<HostId>,
}
