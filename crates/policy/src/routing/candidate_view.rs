use super::LoadReport;
use crate::breaker::BreakerStatus;
use crate::estimate::Share;
use masticstair_core::prelude::*;
use std::time::Duration;

/// One endpoint of the pool, as the choice sees it.
#[derive(Clone, Copy, Debug)]
pub struct CandidateView<'a> {
    /// Unique among the candidates.
    pub id: &'a EndpointId,
    /// The time to the data centre of the endpoint and back; zero in the host's own data centre.
    pub round_trip: Duration,
    /// How many calls the endpoint runs at the same time; zero counts as one.
    pub capacity: Slots,
    /// The calls of this host that have not ended.
    pub in_flight: Slots,
    /// The latest load report, if the endpoint reports its load.
    pub report: Option<LoadReport>,
    /// The estimated latency of this work (see `EndpointEstimate::latency`).
    pub latency: Duration,
    /// The estimated share of calls that succeed.
    pub success: Share,
    /// What the breaker lets through.
    pub breaker_status: BreakerStatus,
    /// The endpoint announced that it is leaving.
    pub leaving: bool,
    /// The lease of the endpoint ends at this time.
    pub lease_until: Timestamp,
}

impl CandidateView<'_> {
    /// Tells whether new work may be sent at all.
    pub(crate) fn is_live(&self, now: Timestamp) -> bool {
        !self.leaving && now < self.lease_until
    }

    /// Tells whether the endpoint is in the host's own data centre.
    pub(crate) fn is_local(&self) -> bool {
        self.round_trip.is_zero()
    }
}
