use masticstair_core::catalog::BatchLimits;
use masticstair_policy::directory::ServingEndpoint;
use masticstair_policy::stage_queue::{ResultCapacity, StageItem};
use std::rc::Rc;

use super::lost_inputs::log_lost_inputs;
use super::release_results::{fail_jobs, release_results};
use super::service_stages::ServiceStages;
use crate::Gateway;
use crate::front_end::{PieceFailure, PieceOutcome};
use crate::messages::StageFailure;

/// Failed calls that an item may have before its stage fails.
const MAX_ITEM_FAILURES: u8 = 3;

/// Records the results of a call with their stages, and retries or fails the items without one.
pub(super) fn handle_outcomes(
    gw: &Rc<Gateway>,
    stages: &Rc<ServiceStages>,
    endpoint: &ServingEndpoint,
    limits: &BatchLimits,
    items: Vec<StageItem>,
    outcomes: Vec<PieceOutcome>,
) {
    let now = gw.now();
    let mut unneeded = Vec::new();
    let mut out_of_memory = false;
    for (item, outcome) in items.into_iter().zip(outcomes) {
        match outcome {
            PieceOutcome::Done(handle) => {
                let capacity =
                    ResultCapacity { endpoint: endpoint.id.clone(), size: item.result_size };
                let until = now.plus(limits.result_ttl.duration());
                stages.retained.borrow_mut().insert(handle.clone(), capacity, until);
                stages.with_endpoint_load(&endpoint.id, |load| {
                    load.reserve_capacity(item.result_size)
                });
                let mut jobs = stages.jobs.borrow_mut();
                let Some(job) = jobs.get_mut(&item.job) else {
                    unneeded.push(handle);
                    continue;
                };
                unneeded.extend(job.record_result(item.piece, handle));
                let is_complete = job.missing == 0;
                drop(jobs);
                if is_complete {
                    stages.complete_job(item.job);
                }
            }
            PieceOutcome::Failed(PieceFailure::Late) => {
                unneeded.extend(stages.fail_job(item.job, StageFailure::Late));
            }
            PieceOutcome::Failed(PieceFailure::InputGone) => {
                log_lost_inputs(gw, stages, endpoint, item.job);
                unneeded.extend(stages.fail_job(item.job, StageFailure::InputGone));
            }
            PieceOutcome::Failed(PieceFailure::NoRoom) => {
                out_of_memory = true;
                retry_item(gw, stages, item);
            }
            PieceOutcome::Failed(PieceFailure::Failed) => retry_item(gw, stages, item),
        }
    }
    if out_of_memory {
        stages.with_endpoint_load(&endpoint.id, |load| load.record_full(now, limits));
    }
    release_results(gw, stages, unneeded);
}

/// Requeues an item without a result. Its stage fails after too many failures, if it crashes endpoints, or when no retry is
/// left in the budget.
pub(super) fn retry_item(gw: &Rc<Gateway>, stages: &Rc<ServiceStages>, mut item: StageItem) {
    item.failures += 1;
    let crashes = stages.crash_count(item.job);
    item.is_alone |= crashes.is_suspicious();
    let exhausted = item.failures > MAX_ITEM_FAILURES || crashes.is_verdict();
    if !exhausted && !stages.jobs.borrow().contains_key(&item.job) {
        return;
    }
    if exhausted || !gw.take_retry(&stages.service) {
        fail_jobs(gw, stages, [item.job], StageFailure::Failed);
        return;
    }
    stages.queue.borrow_mut().push([item]);
}

/// Returns the items whose stages have not ended.
pub(super) fn items_in_progress(stages: &ServiceStages, items: Vec<StageItem>) -> Vec<StageItem> {
    let jobs = stages.jobs.borrow();
    items.into_iter().filter(|item| jobs.contains_key(&item.job)).collect()
}
