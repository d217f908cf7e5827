use super::HostView;
use masticstair_core::id::{HostId, Incarnation, PoolName, Revision};
use masticstair_net::peer::PeerClient;
use masticstair_policy::endpoint_table::EndpointView;

/// The state of the deployment as this host knew it at one time.
#[derive(Clone, Default)]
pub struct MembershipSnapshot {
    /// The live hosts, including this one.
    pub hosts: Box<[HostView]>,
    /// The hosts with a data folder that count as failed. They may run: after this host was cut off it counts all
    /// others as failed until it reaches one of them.
    pub failed: Box<[HostView]>,
    /// The endpoints that may get new work, ordered by pool.
    pub endpoints: Box<[EndpointView]>,
    /// The bundle revision that this host holds; zero before the first.
    pub revision: Revision,
    /// The newest revision that this host or a peer holds.
    pub newest_revision: Revision,
    /// Whether this host has received the records of a peer since its start; also true if it has no
    /// seeds but itself.
    pub synced: bool,
    /// A higher incarnation of this host that peers know; none in normal operation. To continue, this
    /// process needs an incarnation above it.
    pub superseded: Option<Incarnation>,
}

impl MembershipSnapshot {
    /// Returns the endpoints of a pool that may get new work.
    pub fn endpoints_of(&self, pool: &PoolName) -> &[EndpointView] {
        let start = self.endpoints.partition_point(|e| e.record.pool < *pool);
        let rest = &self.endpoints[start..];
        &rest[..rest.partition_point(|e| e.record.pool == *pool)]
    }

    /// Returns the client of a live host, or of a failed one with a data folder; `None` also for this host itself.
    pub fn peer(&self, host: &HostId) -> Option<&PeerClient> {
        let mut all = self.hosts.iter().chain(&self.failed);
        all.find(|h| h.record.host == *host).and_then(|h| h.peer.as_ref())
    }

    /// Returns whether this incarnation of the host is live, so that its process may still run.
    pub fn is_live(&self, host: &HostId, incarnation: Incarnation) -> bool {
        self.hosts.iter().any(|h| h.record.host == *host && h.record.incarnation == incarnation)
    }
}
