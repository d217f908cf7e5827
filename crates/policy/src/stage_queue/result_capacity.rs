use masticstair_core::prelude::*;

/// Memory that a result occupies on an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResultCapacity {
    /// The endpoint that retains the result.
    pub endpoint: EndpointId,
    /// The approximate size of the result.
    pub size: ByteCount,
}
