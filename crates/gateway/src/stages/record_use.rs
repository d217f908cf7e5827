use masticstair_core::catalog::BatchLimits;
use masticstair_core::prelude::*;
use masticstair_policy::stage_queue::StageItem;
use std::time::Duration;

use super::service_stages::ServiceStages;
use crate::Gateway;

/// Records how well a call is filled that is about to be sent to an endpoint with `free` memory for results.
pub(super) fn record_use(
    gw: &Gateway,
    stages: &ServiceStages,
    limits: &BatchLimits,
    items: &[StageItem],
    free: ByteCount,
    endpoints: usize,
) {
    let now = gw.now();
    let needed: u64 = items.iter().map(|item| item.result_size.get()).sum();
    let free = ByteCount::new(free.get().saturating_sub(needed));
    let left = stages.queue.borrow().smallest_result();
    let wait: Duration = items.iter().map(|item| now.since(item.queued_at)).sum();
    let fill = items.len() as f64 / f64::from(limits.items.get().max(1));
    gw.metrics.stages.record_call(&stages.service, fill, wait / items.len().max(1) as u32);
    let mut usage = stages.usage.borrow_mut();
    usage.report(now, &gw.log, &stages.service, limits, endpoints);
    usage.record_start(now, limits, items, left, free);
}
