use masticstair_core::id::EndpointId;

/// The load that an endpoint reports.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// The endpoint that sent the report.
    pub endpoint: EndpointId,
    /// Running calls; saturates at the maximum of the type.
    pub running: u16,
    /// Queued calls; saturates at the maximum of the type.
    pub queued: u16,
}
