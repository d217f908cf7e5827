use masticstair_core::id::{EndpointId, HostId};

/// Identifies the record that an update is about.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum UpdateKey {
    /// The record of a host.
    Host(HostId),
    /// The record of an endpoint.
    Endpoint(EndpointId),
}
