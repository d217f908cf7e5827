use super::LoadReport;
use crate::breaker::BreakerStatus;
use crate::estimate::Share;
use masticstair_core::prelude::*;
use std::time::Duration;

/// Endpoint of the pool, as input of the choice.
#[derive(Clone, Copy, Debug)]
pub struct CandidateView<'a> {
    /// Unique among the candidates.
    pub id: &'a EndpointId,
    /// Round-trip time to the data centre of the endpoint; zero for the data centre of the host.
    pub round_trip: Duration,
    /// Number of calls that the endpoint runs concurrently; zero counts as one.
    pub capacity: Slots,
    /// Calls of this host in flight to the endpoint.
    pub in_flight: Slots,
    /// Latest load report; `None` if the endpoint does not report its load.
    pub report: Option<LoadReport>,
    /// Estimated latency of the call (see `EndpointEstimate::latency`).
    pub latency: Duration,
    /// Estimated success rate of calls.
    pub success: Share,
    /// Calls that the circuit breaker allows.
    pub breaker_status: BreakerStatus,
    /// True if the endpoint announced that it is leaving.
    pub leaving: bool,
    /// Time when the lease of the endpoint expires.
    pub lease_until: Timestamp,
}

impl CandidateView<'_> {
    /// Returns whether the endpoint may get new calls: it is not leaving and its lease has not
    /// expired.
    pub(crate) fn is_live(&self, now: Timestamp) -> bool {
        !self.leaving && now < self.lease_until
    }

    /// Returns whether the endpoint is in the data centre of the host.
    pub(crate) fn is_local(&self) -> bool {
        self.round_trip.is_zero()
    }
}
