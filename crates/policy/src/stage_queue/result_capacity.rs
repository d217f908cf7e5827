use masticstair_core::prelude::*;

/// Memory for results that became free on an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResultCapacity {
    /// The endpoint that retained the result.
    pub endpoint: EndpointId,
    /// The approximate size of the result.
    pub size: ByteCount,
}
