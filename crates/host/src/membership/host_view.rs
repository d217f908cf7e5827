use std::sync::Arc;

use masticstair_net::peer::PeerClient;
use masticstair_policy::membership::HostRecord;

/// A live host and the client to reach it.
#[derive(Clone)]
pub struct HostView {
    /// The latest merged record of the host.
    pub record: Arc<HostRecord>,
    /// Connects on first use; none for this host itself.
    pub peer: Option<PeerClient>,
}
