use masticstair_core::prelude::*;
use masticstair_net::peer::PeerClient;

/// A live host of the deployment.
#[derive(Clone)]
pub struct PeerHost {
    /// Its name.
    pub host: HostId,
    /// Whether it is a control host.
    pub is_control: bool,
    /// Whether it answered lately.
    pub is_alive: bool,
    /// The way to it; none for this host itself.
    pub client: Option<PeerClient>,
}
