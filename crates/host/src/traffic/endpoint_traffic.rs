use masticstair_core::prelude::*;
use masticstair_policy::breaker::CircuitBreaker;
use masticstair_policy::estimate::EndpointEstimate;

/// The observations of one endpoint by this host.
#[derive(Clone, Debug)]
pub(super) struct EndpointTraffic {
    pub(super) estimate: EndpointEstimate,
    pub(super) breaker: CircuitBreaker,
    /// When the endpoint was last a candidate.
    pub(super) last_seen: Timestamp,
}

impl EndpointTraffic {
    pub(super) fn new(now: Timestamp) -> Self {
        Self {
            estimate: EndpointEstimate::new(now),
            breaker: CircuitBreaker::new(),
            last_seen: now,
        }
    }
}
