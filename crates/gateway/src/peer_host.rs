use masticstair_core::prelude::*;
use masticstair_net::peer::PeerClient;

/// A live host of the deployment.
#[derive(Clone)]
pub struct PeerHost {
    /// The name of the host.
    pub host: HostId,
    /// Whether it is a control host.
    pub is_control: bool,
    /// Whether it answered recently.
    pub is_alive: bool,
    /// The connection to the host; none for the local host.
    pub client: Option<PeerClient>,
}
