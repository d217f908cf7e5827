use masticstair_core::id::EndpointId;

/// What an endpoint last reported about its load.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Calls that run; saturates.
    pub running: u16,
    /// Calls that wait; saturates.
    pub queued: u16,
}
