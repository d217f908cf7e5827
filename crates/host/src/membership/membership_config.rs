use std::net::SocketAddr;

use masticstair_core::id::DataCentreId;
use masticstair_core::unit::Timestamp;
use masticstair_net::peer::PeerIdentity;

/// A monotonic clock that any thread can read.
pub type Clock = Box<dyn Fn() -> Timestamp + Send + Sync>;

/// What a host needs to take part.
pub struct MembershipConfig {
    /// What this host says about itself.
    pub identity: PeerIdentity,
    /// Where its peers reach it.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Whether it has a data folder.
    pub durable: bool,
    /// Addresses of hosts to join; may contain this one.
    pub seeds: Box<[SocketAddr]>,
    /// The clock of this process.
    pub clock: Clock,
}
