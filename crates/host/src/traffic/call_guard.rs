use masticstair_core::endpoint_api::Usage;
use masticstair_core::prelude::*;
use masticstair_policy::estimate::{CallNumber, CallOutcome, Latency};

use super::{CallStart, StageKey, Traffic};

/// A call in flight. A guard that is dropped without a result counts as an abandoned call.
pub(crate) struct CallGuard {
    traffic: Traffic,
    key: StageKey,
    endpoint: EndpointId,
    number: CallNumber,
    started: Timestamp,
    ended: bool,
    /// The estimate for this endpoint when the call started.
    pub(crate) latency: Latency,
    /// The estimate over all endpoints of the pool when the call started.
    pub(crate) pool_latency: Latency,
}

impl Traffic {
    /// Chooses an endpoint for a call and returns its index in the candidates; `None` if there is none.
    pub(crate) fn begin_call(&self, start: &CallStart<'_>) -> Option<(usize, CallGuard)> {
        let now = self.0.clock.now();
        let mut inner = self.0.inner.lock();
        let size = start.key.work_size(inner.sizes.expected(start.pipeline));
        if !inner.pools.contains_key(start.key) {
            inner.pools.insert(start.key.clone(), super::PoolTraffic::default());
        }
        let pool = inner.pools.get_mut(start.key)?;
        let (position, number, latency) = pool.begin(
            now,
            start.local_data_centre,
            start.candidates,
            &start.route,
            size,
            start.draw,
        )?;
        let pool_latency = pool.estimate.latency(size);
        if start.route.tried.is_empty() {
            inner.budget.record_call(now);
        }
        let guard = CallGuard {
            traffic: self.clone(),
            key: start.key.clone(),
            endpoint: start.candidates[position].record.id.clone(),
            number,
            started: now,
            ended: false,
            latency,
            pool_latency,
        };
        Some((position, guard))
    }
}

impl CallGuard {
    /// Records that a streamed call has delivered `tokens` tokens in total.
    pub(crate) fn record_progress(&self, tokens: TokenCount) {
        let now = self.traffic.0.clock.now();
        let mut inner = self.traffic.0.inner.lock();
        if let Some(pool) = inner.pools.get_mut(&self.key) {
            pool.record_progress(now, &self.endpoint, self.number, tokens);
        }
    }

    /// Records a complete answer. An engine time of zero in `usage` means that it was not reported.
    pub(crate) fn record_success(mut self, usage: Usage) {
        let reported_time = Some(usage.engine_us).filter(|t| t.get() > 0);
        self.finish(CallOutcome::Success(usage.output_tokens), reported_time);
    }

    /// Records that the call failed.
    pub(crate) fn record_failure(mut self) {
        self.finish(CallOutcome::Failure, None);
    }

    fn finish(&mut self, outcome: CallOutcome, reported_time: Option<EngineTime>) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let now = self.traffic.0.clock.now();
        let mut inner = self.traffic.0.inner.lock();
        let Some(pool) = inner.pools.get_mut(&self.key) else { return };
        if let Some(unloaded) =
            pool.finish(now, &self.endpoint, self.number, outcome, reported_time)
        {
            inner.limit.record_latency(now, now.since(self.started), unloaded);
        }
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.finish(CallOutcome::Abandoned, None);
    }
}
