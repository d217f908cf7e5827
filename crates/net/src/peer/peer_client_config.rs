use std::net::SocketAddr;

use super::PeerIdentity;
use masticstair_core::id::HostId;

/// The configuration of a `PeerClient`.
#[derive(Clone, Debug)]
pub struct PeerClientConfig {
    /// The address on which the peer listens.
    pub address: SocketAddr,
    /// The host expected at the address; `None` if only the address is known, as for a seed.
    pub expected: Option<HostId>,
    /// The identity that this host sends in its hello.
    pub local: PeerIdentity,
}
