use masticstair_core::prelude::*;
use masticstair_net::peer::PeerClient;

/// A host of the deployment that may run.
#[derive(Clone)]
pub struct PeerHost {
    /// The name of the host.
    pub host: HostId,
    /// The data centre of the host.
    pub data_centre: DataCentreId,
    /// Whether it is a control host.
    pub is_control: bool,
    /// Whether it answered recently.
    pub is_alive: bool,
    /// Whether it counts as failed. It may still answer.
    pub is_failed: bool,
    /// The connection to the host; none for the local host.
    pub client: Option<PeerClient>,
}
