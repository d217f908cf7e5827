//! The observations of a host about its traffic, and the routing and admission that depend on them.
//!
//! The decisions are functions of `masticstair-policy`. This module holds their state for all workers
//! behind one lock, which is held only for short operations, and wakes queued requests.

mod admission;
mod admission_error;
mod admission_queue;
mod admission_request;
mod answer_sizes;
mod call_guard;
mod call_start;
mod endpoint_traffic;
mod permit;
mod pool_traffic;
mod queue_outcome;
mod stage_key;

pub(crate) use admission_error::AdmissionError;
pub(crate) use admission_request::AdmissionRequest;
pub(crate) use call_guard::CallGuard;
pub(crate) use call_start::CallStart;
pub(crate) use permit::Permit;
pub(crate) use stage_key::StageKey;

use masticstair_core::prelude::*;
use masticstair_policy::admission::{HostLimit, StageEstimate};
use masticstair_policy::fair_queue::{FairQueue, QueueBounds};
use masticstair_policy::retry::RetryBudget;
use parking_lot::Mutex;
use std::collections::HashMap;
use std::sync::Arc;

use crate::state::Clock;
use admission_queue::AdmissionQueue;
use answer_sizes::AnswerSizes;
use pool_traffic::PoolTraffic;

/// The concurrency limit of a host before it has observed any call.
const INITIAL_CONCURRENCY: Slots = Slots::new(256);
/// The upper bound of the concurrency limit.
const MAX_CONCURRENCY: Slots = Slots::new(4_096);
/// The slots that are reserved for lookups.
const LOOKUP_SLOTS: Slots = Slots::new(64);
/// The largest number of queued requests, of all accounts and of one account.
const QUEUE_BOUNDS: QueueBounds =
    QueueBounds { total: Slots::new(8_192), account: Slots::new(2_048) };
/// Retries and hedges as a percentage of first calls, until a bundle sets it.
const DEFAULT_RETRY_PERCENT: u8 = 10;

/// The traffic state of a host; clones share the state.
#[derive(Clone)]
pub struct Traffic(Arc<Shared>);

struct Shared {
    clock: Clock,
    inner: Mutex<Inner>,
}

struct Inner {
    pools: HashMap<StageKey, PoolTraffic>,
    budget: RetryBudget,
    limit: HostLimit,
    admission: AdmissionQueue,
    sizes: AnswerSizes,
}

impl Traffic {
    /// Creates the state without observations.
    pub fn new(clock: Clock) -> Self {
        let inner = Inner {
            pools: HashMap::new(),
            budget: RetryBudget::new(DEFAULT_RETRY_PERCENT),
            limit: HostLimit::new(clock.now(), INITIAL_CONCURRENCY, MAX_CONCURRENCY, LOOKUP_SLOTS),
            admission: AdmissionQueue::new(FairQueue::new(QUEUE_BOUNDS)),
            sizes: AnswerSizes::default(),
        };
        Self(Arc::new(Shared { clock, inner: Mutex::new(inner) }))
    }

    /// Runs `f` on the retry budget, under the lock of all workers.
    pub fn with_budget<T>(&self, f: impl FnOnce(&mut RetryBudget) -> T) -> T {
        f(&mut self.0.inner.lock().budget)
    }

    /// Estimates each stage of `keys` for the mean answer size of the pipeline.
    pub(crate) fn estimate(
        &self,
        pipeline: &PipelineName,
        keys: &[StageKey],
    ) -> Vec<StageEstimate> {
        self.0.inner.lock().estimate(pipeline, keys)
    }

    /// Records the number of tokens of a complete answer.
    pub(crate) fn record_answer_size(&self, pipeline: &PipelineName, tokens: TokenCount) {
        self.0.inner.lock().sizes.record(pipeline, tokens);
    }

    /// Returns the number of requests that wait for a slot.
    pub fn waiting(&self) -> usize {
        self.0.inner.lock().admission.waiting()
    }
}

impl Inner {
    fn estimate(&self, pipeline: &PipelineName, keys: &[StageKey]) -> Vec<StageEstimate> {
        let size = self.sizes.expected(pipeline);
        keys.iter()
            .map(|key| {
                let size = key.work_size(size);
                let latency = match self.pools.get(key) {
                    Some(pool) => pool.estimate.latency(size),
                    None => PoolTraffic::default().estimate.latency(size),
                };
                StageEstimate { latency }
            })
            .collect()
    }
}
