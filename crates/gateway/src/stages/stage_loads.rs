//! Loads of the stage services whose calls this host forms.

use masticstair_core::prelude::*;
use std::time::Duration;

use super::service_stages::ServiceStages;
use crate::Gateway;
use crate::messages::StageLoad;

/// Cap of the reported wait.
const MAX_EXPECTED_WAIT: Duration = Duration::from_secs(10);

/// How long the mean call duration is reported after the last call.
const CALL_TIME_VALIDITY: Duration = Duration::from_secs(1);

/// Returns the load of every service whose calls this host forms.
pub(crate) fn stage_loads(gw: &Gateway) -> Vec<StageLoad> {
    let all = gw.stages.all();
    let local = all.iter().filter(|stages| gw.owners.owner(gw, &stages.service).is_none());
    local.map(|stages| stage_load(gw, stages)).collect()
}

pub(super) fn stage_load(gw: &Gateway, stages: &ServiceStages) -> StageLoad {
    let rate = items_per_second(gw, stages);
    let waits = std::array::from_fn(|priority| {
        let ahead = stages.queue.borrow().count_ahead(priority as u8);
        let wait = rate.map_or(0.0, |rate| ahead as f64 / rate);
        millis(Duration::from_secs_f64(wait.min(MAX_EXPECTED_WAIT.as_secs_f64())))
    });
    let (at, mean) = stages.mean_call_time.get();
    let is_fresh = gw.now().since(at) < CALL_TIME_VALIDITY;
    let call = if is_fresh { millis(mean) } else { Millis::default() };
    StageLoad { service: stages.service.clone(), waits, call }
}

fn millis(time: Duration) -> Millis {
    Millis::new(time.as_millis() as u64)
}

/// Returns the items per second of all endpoints with full calls; none if the service runs no stages.
fn items_per_second(gw: &Gateway, stages: &ServiceStages) -> Option<f64> {
    let limits = gw.batch_limits(&stages.service)?;
    let now = gw.now();
    let max_items = limits.items.get().max(1) as usize;
    let endpoints = gw.endpoints(&stages.service);
    let usable = endpoints
        .iter()
        .filter(|e| stages.with_endpoint_load(&e.id, |load| now >= load.backoff_until));
    let rate: f64 = usable
        .map(|e| {
            stages.with_endpoint_load(&e.id, |load| load.expected_call_time(&limits, max_items))
        })
        .map(|call| max_items as f64 / call.as_secs_f64().max(1e-3))
        .sum();
    Some(rate.max(1.0))
}
