use crate::scenario::{DATA_CENTRES, ENGINES, HOSTS, ROUND_TRIP_US, SLOTS, STAGES};
use masticstair_core::prelude::*;
use masticstair_policy::admission::{HostLimit, QueueView, StageEstimate};
use masticstair_policy::breaker::{CircuitBreaker, PoolHealth};
use masticstair_policy::estimate::{EndpointEstimate, PoolEstimate};
use masticstair_policy::fair_queue::{AccountLimits, Cost, FairQueue, QueueBounds, WorkClass};
use masticstair_policy::retry::RetryBudget;
use masticstair_policy::routing::{CandidateView, LoadReport};
use std::time::Duration;

/// State of one host; hosts share no state.
pub struct Host {
    data_centre: usize,
    pub pools: Vec<PoolEstimate>,
    pub endpoints: Vec<Vec<EndpointEstimate>>,
    pub breakers: Vec<Vec<CircuitBreaker>>,
    pub reports: Vec<Vec<Option<LoadReport>>>,
    pub budget: RetryBudget,
    pub queue: FairQueue,
    pub limit: HostLimit,
    /// Engine that the baseline used last in each pool, modulo `ENGINES`, for round robin.
    pub last_engine: [usize; STAGES],
}

impl Host {
    pub fn new(index: usize) -> Self {
        let now = Timestamp::new(0);
        let slots: u32 = SLOTS.iter().sum::<u32>() * ENGINES as u32;
        let initial = Slots::new(slots / HOSTS as u32);
        let bounds = QueueBounds { total: Slots::new(10_000), account: Slots::new(2_000) };
        Self {
            data_centre: index % DATA_CENTRES,
            pools: vec![PoolEstimate::new(); STAGES],
            endpoints: vec![vec![EndpointEstimate::new(now); ENGINES]; STAGES],
            breakers: vec![vec![CircuitBreaker::new(); ENGINES]; STAGES],
            reports: vec![vec![None; ENGINES]; STAGES],
            budget: RetryBudget::new(10),
            queue: FairQueue::new(bounds),
            limit: HostLimit::new(now, initial, Slots::new(1_000), Slots::new(2)),
            last_engine: [index; STAGES],
        }
    }

    /// Returns the round-trip time to an engine.
    pub fn round_trip(&self, engine: usize) -> Duration {
        let local = engine / (ENGINES / DATA_CENTRES) == self.data_centre;
        Duration::from_micros(if local { 0 } else { ROUND_TRIP_US })
    }

    pub fn candidates<'a>(
        &self,
        now: Timestamp,
        stage: usize,
        size: TokenCount,
        ids: &'a [EndpointId],
    ) -> Vec<CandidateView<'a>> {
        let view = |(i, id): (usize, &'a EndpointId)| {
            let estimate = &self.endpoints[stage][i];
            CandidateView {
                id,
                round_trip: self.round_trip(i),
                capacity: Slots::new(SLOTS[stage]),
                in_flight: estimate.in_flight(),
                report: self.reports[stage][i],
                latency: estimate.latency(now, size, &self.pools[stage]).mean,
                success: estimate.success(now, &self.pools[stage]),
                breaker_status: self.breakers[stage][i].status(now),
                leaving: false,
                lease_until: Timestamp::new(u64::MAX),
            }
        };
        ids.iter().enumerate().map(view).collect()
    }

    /// Returns the estimates of the stages from `stage` on, for a request of `size` tokens.
    pub fn estimates(&self, stage: usize, size: u64) -> Vec<StageEstimate> {
        let one = |s: usize| StageEstimate { latency: self.pools[s].latency(size_of(s, size)) };
        (stage..STAGES).map(one).collect()
    }

    pub fn health(&self, stage: usize) -> PoolHealth {
        let ejected = self.breakers[stage].iter().filter(|b| b.is_ejected()).count();
        PoolHealth { members: Slots::new(ENGINES as u32), ejected: Slots::new(ejected as u32) }
    }

    pub fn queue_view(&self, now: Timestamp, account: &AccountId, cost: Cost) -> QueueView {
        QueueView {
            account: self.queue.view(now, account, &limits(), WorkClass::Work, cost),
            limit: self.limit.limit(WorkClass::Work),
            in_flight: self.limit.in_flight(WorkClass::Work),
        }
    }
}

/// Returns the token count of a stage: only the last stage generates tokens.
pub fn size_of(stage: usize, tokens: u64) -> TokenCount {
    TokenCount::new(if stage == STAGES - 1 { tokens } else { 0 })
}

/// Returns limits that are never reached, so that only fair queueing separates the accounts.
pub fn limits() -> AccountLimits {
    AccountLimits {
        weight: Weight::new(1),
        concurrency: Slots::new(10_000),
        rate: 10_000.0.try_into().unwrap_or_default(),
        burst: Slots::new(10_000),
    }
}
