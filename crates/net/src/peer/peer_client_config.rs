use std::net::SocketAddr;

use super::PeerIdentity;
use masticstair_core::id::HostId;

/// Which peer a client talks to.
#[derive(Clone, Debug)]
pub struct PeerClientConfig {
    /// Where the peer listens.
    pub address: SocketAddr,
    /// The host that is expected there; none when only an address is known.
    pub expected: Option<HostId>,
    /// What this host says about itself.
    pub local: PeerIdentity,
}
