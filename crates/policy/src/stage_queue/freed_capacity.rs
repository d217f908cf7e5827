use masticstair_core::prelude::*;

/// Memory for results that an endpoint has again.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FreedCapacity {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The approximate size of the result that it kept.
    pub size: ByteCount,
}
