use std::sync::Arc;

use masticstair_net::peer::PeerClient;
use masticstair_policy::membership::HostRecord;

/// A live host.
#[derive(Clone)]
pub struct HostView {
    /// What is known of it.
    pub record: Arc<HostRecord>,
    /// The way to it; none for this host itself.
    pub peer: Option<PeerClient>,
}
