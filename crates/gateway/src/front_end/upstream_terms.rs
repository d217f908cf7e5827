use masticstair_core::prelude::*;

/// What the gateway adds to a request for an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamTerms<'a> {
    /// The endpoint that shall run it; another one at its address refuses.
    pub endpoint: &'a EndpointId,
    /// The time that is left.
    pub left: Millis,
    /// The account that the client belongs to.
    pub account: Option<&'a AccountId>,
    /// The order among the requests of an engine; 0 is the most urgent.
    pub priority: Option<u8>,
    /// The results of the stages that it needs.
    pub inputs: Option<&'a [ResultHandle]>,
    /// The last event that was passed on; the endpoint goes on after it.
    pub resume_after: Option<u64>,
}
