use masticstair_core::prelude::*;

/// Metadata that the gateway adds to a request for an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamMeta<'a> {
    /// The endpoint that is to run the request; any other one at its address refuses it.
    pub endpoint: &'a EndpointId,
    /// The time until the deadline.
    pub left: Millis,
    /// The account of the client.
    pub account: Option<&'a AccountId>,
    /// The order among the requests of an engine; 0 is the most urgent.
    pub priority: Option<u8>,
    /// The stage results that the request needs.
    pub inputs: Option<&'a [ResultHandle]>,
    /// The last event that was forwarded; the endpoint continues after it.
    pub resume_after: Option<u64>,
}
