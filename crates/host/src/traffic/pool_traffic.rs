use masticstair_core::prelude::*;
use masticstair_policy::breaker::PoolHealth;
use masticstair_policy::endpoint_table::limits::LEASE_DURATION;
use masticstair_policy::endpoint_table::{EndpointState, EndpointView};
use masticstair_policy::estimate::{CallNumber, CallOutcome, Latency, PoolEstimate};
use masticstair_policy::routing::{
    CandidateView, Choice, LoadReport, RouteRequest, choose_endpoint,
};
use std::collections::HashMap;
use std::time::Duration;

use super::endpoint_traffic::EndpointTraffic;

/// The assumed round trip time to an endpoint in another data centre; within the same one, zero is assumed.
const ASSUMED_ROUND_TRIP: Duration = Duration::from_millis(2);
/// An endpoint without calls in flight is removed if it has not been a candidate for this long.
const ENDPOINT_RETENTION: Duration = Duration::from_secs(60);

/// The observations of one pool in one stage.
#[derive(Clone, Debug, Default)]
pub(super) struct PoolTraffic {
    pub(super) estimate: PoolEstimate,
    endpoints: HashMap<EndpointId, EndpointTraffic>,
}

impl PoolTraffic {
    /// Chooses an endpoint and records the start of the call. Returns the index of the candidate, the
    /// number of the call and its estimated latency.
    pub(super) fn begin(
        &mut self,
        now: Timestamp,
        local_data_centre: &DataCentreId,
        candidates: &[EndpointView],
        route: &RouteRequest<'_>,
        size: TokenCount,
        draw: Draw,
    ) -> Option<(usize, CallNumber, Latency)> {
        self.update_endpoints(now, candidates);
        let choice = self.choose(now, local_data_centre, candidates, route, size, draw)?;
        let id = &candidates[choice.position].record.id;
        let endpoint = self.endpoints.get_mut(id)?;
        if choice.probe {
            endpoint.breaker.begin_probe(now);
        }
        let latency = endpoint.estimate.latency(now, size, &self.estimate);
        Some((choice.position, endpoint.estimate.begin(now, size), latency))
    }

    /// Records the end of a call. Returns the latency that a successful call would have had without load;
    /// `reported_time` is the engine time reported by the endpoint.
    pub(super) fn finish(
        &mut self,
        now: Timestamp,
        id: &EndpointId,
        number: CallNumber,
        outcome: CallOutcome,
        reported_time: Option<EngineTime>,
    ) -> Option<Duration> {
        let health = self.health();
        let endpoint = self.endpoints.get_mut(id)?;
        endpoint.estimate.finish(now, number, outcome, &mut self.estimate);
        match outcome {
            CallOutcome::Success(tokens) => {
                endpoint.breaker.record(now, true, &health);
                return Some(endpoint.estimate.unloaded_latency(tokens, reported_time));
            }
            CallOutcome::Failure => endpoint.breaker.record(now, false, &health),
            CallOutcome::Abandoned => {}
        }
        None
    }

    /// Records that a streamed call has delivered `tokens` tokens in total.
    pub(super) fn record_progress(
        &mut self,
        now: Timestamp,
        id: &EndpointId,
        number: CallNumber,
        tokens: TokenCount,
    ) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.estimate.progress(now, number, tokens);
        }
    }

    fn choose(
        &self,
        now: Timestamp,
        local_data_centre: &DataCentreId,
        candidates: &[EndpointView],
        route: &RouteRequest<'_>,
        size: TokenCount,
        draw: Draw,
    ) -> Option<Choice> {
        let views = candidates.iter().filter_map(|candidate| {
            let record = &candidate.record;
            let endpoint = self.endpoints.get(&record.id)?;
            let local = record.data_centre == *local_data_centre;
            Some(CandidateView {
                id: &record.id,
                round_trip: if local { Duration::ZERO } else { ASSUMED_ROUND_TRIP },
                capacity: record.capacity,
                in_flight: endpoint.estimate.in_flight(),
                report: candidate.load.as_ref().map(|(load, at)| LoadReport {
                    running: Slots::new(load.running.into()),
                    queued: Slots::new(load.queued.into()),
                    received_at: *at,
                }),
                latency: endpoint.estimate.latency(now, size, &self.estimate).mean,
                success: endpoint.estimate.success(now, &self.estimate),
                breaker_status: endpoint.breaker.status(now),
                leaving: record.state != EndpointState::Ready,
                // All candidates have a valid lease.
                lease_until: now.plus(LEASE_DURATION),
            })
        });
        let views: Vec<CandidateView<'_>> = views.collect();
        choose_endpoint(now, &views, route, draw)
    }

    /// Adds new candidates and removes endpoints that have not been candidates for `ENDPOINT_RETENTION`.
    fn update_endpoints(&mut self, now: Timestamp, candidates: &[EndpointView]) {
        for id in candidates.iter().map(|c| &c.record.id) {
            match self.endpoints.get_mut(id) {
                Some(endpoint) => endpoint.last_seen = now,
                None => {
                    self.endpoints.insert(id.clone(), EndpointTraffic::new(now));
                }
            }
        }
        if self.endpoints.len() > candidates.len() {
            self.endpoints.retain(|_, e| {
                now.since(e.last_seen) < ENDPOINT_RETENTION || e.estimate.in_flight().get() > 0
            });
        }
    }

    fn health(&self) -> PoolHealth {
        let ejected = self.endpoints.values().filter(|e| e.breaker.is_ejected()).count();
        PoolHealth {
            members: Slots::new(self.endpoints.len() as u32),
            ejected: Slots::new(ejected as u32),
        }
    }
}
