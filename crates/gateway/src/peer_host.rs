use masticstair_core::prelude::*;
use masticstair_net::peer::PeerClient;

/// A live host of the deployment.
#[derive(Clone)]
pub struct PeerHost {
    /// Its name.
    pub host: HostId,
    /// The life of its process.
    pub incarnation: Incarnation,
    /// Whether it is a control host.
    pub is_control: bool,
    /// Whether it answered lately.
    pub is_alive: bool,
    /// The way to it; none for this host itself.
    pub client: Option<PeerClient>,
}

/// Returns the live hosts as far as this host knows them, and whether it has joined the others.
pub type Peers = Box<dyn Fn() -> (Vec<PeerHost>, bool)>;
