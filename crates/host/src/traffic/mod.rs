//! What a host observes of its own traffic, and the decisions that follow from it.
//!
//! The decisions are functions of `masticstair-policy`; this module holds their state for all workers
//! behind one short lock and wakes the requests that wait.

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

pub use admission_error::AdmissionError;
pub use admission_request::AdmissionRequest;
pub use call_guard::CallGuard;
pub use call_start::CallStart;
pub use permit::Permit;
pub use stage_key::StageKey;

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

/// Requests that run at the same time before anything was observed.
const INITIAL_CONCURRENCY: Slots = Slots::new(256);
/// Requests that run at the same time at the most.
const MAX_CONCURRENCY: Slots = Slots::new(4_096);
/// Slots that only lookups use.
const LOOKUP_SLOTS: Slots = Slots::new(64);
/// Requests that wait at the most, of all accounts and of one.
const QUEUE_BOUNDS: QueueBounds =
    QueueBounds { total: Slots::new(8_192), account: Slots::new(2_048) };
/// The part of retries before a bundle sets it.
const DEFAULT_RETRY_PERCENT: u8 = 10;

/// The traffic of a host; cheap to clone.
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
    /// Starts without observations.
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

    /// Runs `f` on the retry budget.
    pub fn with_budget<T>(&self, f: impl FnOnce(&mut RetryBudget) -> T) -> T {
        f(&mut self.0.inner.lock().budget)
    }

    /// Estimates the stages of `keys` for work of a pipeline.
    pub fn estimate(&self, pipeline: &PipelineName, keys: &[StageKey]) -> Vec<StageEstimate> {
        self.0.inner.lock().estimate(pipeline, keys)
    }

    /// Takes up the number of tokens of an answer.
    pub fn record_size(&self, pipeline: &PipelineName, tokens: TokenCount) {
        self.0.inner.lock().sizes.record(pipeline, tokens);
    }

    /// Returns how many requests wait for a slot.
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
