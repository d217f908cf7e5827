use masticstair_core::catalog::BatchLimits;
use masticstair_core::prelude::*;
use masticstair_policy::directory::ServingEndpoint;
use masticstair_policy::stage_queue::StageItem;
use slog::{debug, info};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::call_outcome::CallOutcome;
use super::check_call_end::{LostCall, check_call_end};
use super::credible_outcome::credible_outcome;
use super::dispatch::dispatch_soon;
use super::handle_outcomes::{handle_outcomes, items_in_progress, retry_item};
use super::send_call::send_call;
use super::service_stages::ServiceStages;
use crate::Gateway;

/// How long an endpoint gets no calls after one that could not be sent or whose outcome is unknown.
pub(super) const LOST_CALL_BACKOFF: Duration = Duration::from_millis(700);

/// Counts a call and reserves the capacity for its results before it is sent, so that the endpoint is not
/// chosen twice.
pub(super) fn begin_call(
    gw: &Gateway,
    stages: &ServiceStages,
    endpoint: &ServingEndpoint,
    limits: &BatchLimits,
    items: &[StageItem],
) {
    gw.record_request(endpoint);
    stages.with_endpoint_load(&endpoint.id, |load| {
        load.in_flight += 1;
        load.busy_until = gw.now().plus(load.expected_call_time(limits, items.len()));
        load.reserve_capacity(result_size(items));
    });
}

fn end_call(stages: &ServiceStages, endpoint: &ServingEndpoint, items: &[StageItem]) {
    stages.with_endpoint_load(&endpoint.id, |load| {
        load.in_flight -= 1;
        load.release_capacity(result_size(items));
    });
}

fn result_size(items: &[StageItem]) -> ByteCount {
    ByteCount::new(items.iter().map(|item| item.result_size.get()).sum())
}

/// Makes one call and processes the outcomes of its items.
pub(super) async fn run_call(
    gw: Rc<Gateway>,
    stages: Rc<ServiceStages>,
    endpoint: Arc<ServingEndpoint>,
    limits: BatchLimits,
    items: Vec<StageItem>,
) {
    let started = gw.now();
    let outcome = send_call(&gw, &stages, &endpoint, &limits, &items).await;
    let took = gw.now().since(started);
    end_call(&stages, &endpoint, &items);
    stages.usage.borrow_mut().record_end(took);
    let result = match &outcome {
        CallOutcome::Answered(_) => "answered",
        CallOutcome::Unidentified(_) => "unidentified",
        CallOutcome::NotRun(..) => "not-run",
        CallOutcome::Lost(..) => "lost",
    };
    gw.metrics.count_call(&stages.service, result, took);
    match outcome {
        CallOutcome::Answered(outcomes) => {
            debug!(gw.log, "stage call completed"; "service" => %stages.service,
                "endpoint" => %endpoint.id, "items" => items.len(),
                "took_ms" => took.as_millis() as u64);
            stages.with_endpoint_load(&endpoint.id, |load| {
                load.record_call(&limits, items.len(), took)
            });
            stages.record_call_time(gw.now(), took);
            handle_outcomes(&gw, &stages, &endpoint, &limits, items, outcomes);
        }
        CallOutcome::Unidentified(outcomes) => {
            info!(gw.log, "stage answer without results may be to another call";
                "service" => %stages.service, "endpoint" => %endpoint.id,
                "items" => items.len(), "first_outcome" => ?outcomes.first(),
                "took_ms" => took.as_millis() as u64);
            let now = gw.now();
            let credible = |(item, outcome)| credible_outcome(item, outcome, now);
            let outcomes = items.iter().zip(outcomes).map(credible).collect();
            handle_outcomes(&gw, &stages, &endpoint, &limits, items, outcomes);
        }
        CallOutcome::NotRun(backoff, reason) => {
            info!(gw.log, "stage call not run; requeueing its items";
                "service" => %stages.service, "endpoint" => %endpoint.id,
                "items" => items.len(), "reason" => reason.as_ref());
            let until = gw.now().plus(backoff);
            stages.with_endpoint_load(&endpoint.id, |load| {
                load.backoff_until = load.backoff_until.max(until)
            });
            stages.queue.borrow_mut().push(items_in_progress(&stages, items));
        }
        CallOutcome::Lost(loss, reason) => {
            info!(gw.log, "outcome of stage call unknown; retrying its items";
                "service" => %stages.service, "endpoint" => %endpoint.id,
                "items" => items.len(), "reason" => reason.as_ref(),
                "took_ms" => took.as_millis() as u64);
            let now = gw.now();
            stages.with_endpoint_load(&endpoint.id, |load| {
                load.record_lost(now, result_size(&items), &limits);
                load.record_failure(now, LOST_CALL_BACKOFF)
            });
            let mut jobs: Vec<_> = items.iter().map(|item| item.job).collect();
            jobs.dedup();
            let (stages, sent_at) = (stages.clone(), started);
            let call = LostCall { stages: stages.clone(), endpoint, jobs, sent_at, loss };
            check_call_end(&gw, call).await;
            for item in items {
                retry_item(&gw, &stages, item);
            }
        }
    }
    dispatch_soon(&gw, &stages);
}
