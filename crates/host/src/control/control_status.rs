use masticstair_core::prelude::*;
use masticstair_store::consensus::NodeStatus;

/// The state of the control thread, for status pages.
#[derive(Clone, Debug)]
pub struct ControlStatus {
    /// The replica of this host, when it has a data folder.
    pub node: Option<NodeStatus>,
    /// The host that answered the last proposal or read.
    pub leader: Option<HostId>,
}
