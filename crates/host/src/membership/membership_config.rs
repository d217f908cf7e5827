use std::net::SocketAddr;

use masticstair_core::id::DataCentreId;
use masticstair_core::unit::Timestamp;
use masticstair_net::peer::PeerIdentity;

/// A monotonic clock that can be read from any thread.
pub type ClockFn = Box<dyn Fn() -> Timestamp + Send + Sync>;

/// The configuration of the membership of one host.
pub struct MembershipConfig {
    /// Sent to every peer on connecting.
    pub identity: PeerIdentity,
    /// The address at which peers reach this host.
    pub address: SocketAddr,
    /// Published in the record of this host.
    pub data_centre: DataCentreId,
    /// Whether this host has a data folder; published in its record.
    pub durable: bool,
    /// Addresses of hosts to join; the address of this host is ignored. If no other remains, the host
    /// starts as synced.
    pub seeds: Box<[SocketAddr]>,
    /// The source of all times in the tables.
    pub clock: ClockFn,
}
