use super::HostView;
use masticstair_core::id::{HostId, Incarnation, PoolName, Revision};
use masticstair_net::peer::PeerClient;
use masticstair_policy::endpoint_table::EndpointView;

/// What this host knows of the deployment, as of one moment.
#[derive(Clone, Default)]
pub struct MembershipSnapshot {
    /// The live hosts, this one included.
    pub hosts: Box<[HostView]>,
    /// The endpoints that may get new work, ordered by pool.
    pub endpoints: Box<[EndpointView]>,
    /// The revision that this host holds.
    pub revision: Revision,
    /// The newest revision that this host or a peer holds.
    pub newest_revision: Revision,
    /// Whether this host has once had the records of a peer; true without one when it has no seeds but
    /// itself.
    pub synced: bool,
    /// A later life of this host that others know. This process needs a higher incarnation to go on.
    pub superseded: Option<Incarnation>,
}

impl MembershipSnapshot {
    /// Returns the endpoints of a pool that may get new work.
    pub fn endpoints_of(&self, pool: &PoolName) -> &[EndpointView] {
        let start = self.endpoints.partition_point(|e| e.record.pool < *pool);
        let rest = &self.endpoints[start..];
        &rest[..rest.partition_point(|e| e.record.pool == *pool)]
    }

    /// Returns the way to a live host.
    pub fn peer(&self, host: &HostId) -> Option<&PeerClient> {
        self.hosts.iter().find(|h| h.record.host == *host).and_then(|h| h.peer.as_ref())
    }

    /// Tells whether a process with this incarnation can still run.
    pub fn is_live(&self, host: &HostId, incarnation: Incarnation) -> bool {
        self.hosts.iter().any(|h| h.record.host == *host && h.record.incarnation == incarnation)
    }
}
