use masticstair_core::catalog::BatchLimits;
use masticstair_core::prelude::*;
use masticstair_net::http::relay::RelayCall;
use masticstair_policy::directory::ServingEndpoint;
use masticstair_policy::stage_queue::{FreedCapacity, StageItem};
use slog::{debug, info};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::pump::pump;
use super::release::{fail_jobs, release_results};
use super::service_stages::ServiceStages;
use crate::Gateway;
use crate::front_end::{PieceFailure, PieceOutcome, StageCall, StageCallItem};
use crate::messages::StageFailure;

/// How long an endpoint that had no room for a call is left alone.
const FULL_PAUSE: Duration = Duration::from_millis(120);

/// How long an endpoint is left alone after a call that was lost.
const LOST_PAUSE: Duration = Duration::from_millis(700);

/// How long an endpoint is left alone whose address answers for another one.
const OTHER_PAUSE: Duration = Duration::from_secs(2);

/// How long a connection to a stage endpoint may take.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);

/// The longest idle time of a connection that is used again; endpoints close them after several seconds.
const MAX_IDLE: Duration = Duration::from_secs(2);

/// The largest answer of a stage endpoint, in bytes.
const ANSWER_LIMIT: usize = 1 << 20;

/// Calls that one piece may fail with.
const MAX_FAILURES: u8 = 3;

/// How a call of a stage service ended.
enum CallEnd {
    /// An outcome for each item.
    Answered(Vec<PieceOutcome>),
    /// Nothing was run; the endpoint is left alone for a while.
    NotRun(Duration, Box<str>),
    /// The items may have been made.
    Lost(Box<str>),
}

/// Notes that a call begins, so that its endpoint is not chosen twice.
pub(super) fn begin_call(stages: &ServiceStages, endpoint: &ServingEndpoint, items: &[StageItem]) {
    stages.with_work(&endpoint.id, |work| {
        work.in_flight += 1;
        work.reserve_capacity(result_size(items));
    });
}

fn end_call(stages: &ServiceStages, endpoint: &ServingEndpoint, items: &[StageItem]) {
    stages.with_work(&endpoint.id, |work| {
        work.in_flight -= 1;
        work.release_capacity(result_size(items));
    });
}

fn result_size(items: &[StageItem]) -> ByteCount {
    ByteCount::new(items.iter().map(|item| item.result_size.get()).sum())
}

/// Makes one call and hands out what became of its items.
pub(super) async fn run_call(
    gw: Rc<Gateway>,
    stages: Rc<ServiceStages>,
    endpoint: Arc<ServingEndpoint>,
    limits: BatchLimits,
    items: Vec<StageItem>,
) {
    let started = gw.now();
    let end = exchange(&gw, &stages, &endpoint, &limits, &items).await;
    let took = gw.now().since(started);
    end_call(&stages, &endpoint, &items);
    let result = match &end {
        CallEnd::Answered(_) => "answered",
        CallEnd::NotRun(..) => "not-run",
        CallEnd::Lost(_) => "lost",
    };
    gw.metrics.count_call(&stages.service, result, took);
    match end {
        CallEnd::Answered(outcomes) => {
            debug!(gw.log, "stage call"; "service" => %stages.service,
                "endpoint" => %endpoint.id, "items" => items.len(),
                "took_ms" => took.as_millis() as u64);
            stages.with_work(&endpoint.id, |work| work.record_call(&limits, items.len(), took));
            stages.note_call_time(gw.now(), took);
            take_outcomes(&gw, &stages, &endpoint, &limits, items, outcomes);
        }
        CallEnd::NotRun(pause, reason) => {
            info!(gw.log, "stage call not run"; "service" => %stages.service,
                "endpoint" => %endpoint.id, "items" => items.len(), "reason" => reason.as_ref());
            let until = gw.now().plus(pause);
            stages
                .with_work(&endpoint.id, |work| work.backoff_until = work.backoff_until.max(until));
            stages.queue.borrow_mut().push(still_wanted(&stages, items));
        }
        CallEnd::Lost(reason) => {
            info!(gw.log, "stage call lost"; "service" => %stages.service,
                "endpoint" => %endpoint.id, "items" => items.len(), "reason" => reason.as_ref(),
                "took_ms" => took.as_millis() as u64);
            let now = gw.now();
            stages.with_work(&endpoint.id, |work| work.record_failure(now, LOST_PAUSE));
            for item in items {
                retry_item(&gw, &stages, item);
            }
        }
    }
    pump(&gw, &stages);
}

async fn exchange(
    gw: &Gateway,
    stages: &ServiceStages,
    endpoint: &ServingEndpoint,
    limits: &BatchLimits,
    items: &[StageItem],
) -> CallEnd {
    let Some(call) = encode(gw, stages, endpoint, items) else {
        return CallEnd::NotRun(Duration::ZERO, "the stages have ended".into());
    };
    let patience = stages.with_work(&endpoint.id, |work| work.call_timeout(limits, items.len()));
    let send = async {
        let sent = gw.pool.send(call).await;
        gw.note_reach(endpoint, sent.as_ref().err());
        let (head, body) = match sent {
            Ok(answer) => answer,
            Err(e) if e.may_have_sent() => return CallEnd::Lost(e.to_string().into()),
            Err(e) => return CallEnd::NotRun(LOST_PAUSE, e.to_string().into()),
        };
        let meta = (gw.front_end.read_answer)(head.status, &head.headers);
        if meta.not_run || meta.is_other_endpoint {
            let pause = if meta.is_other_endpoint { OTHER_PAUSE } else { FULL_PAUSE };
            return CallEnd::NotRun(pause, format!("status {}", head.status).into());
        }
        let bytes = match body.read_all(ANSWER_LIMIT).await {
            Ok(bytes) => bytes,
            Err(e) => return CallEnd::Lost(e.to_string().into()),
        };
        if !head.status.is_success() {
            return CallEnd::Lost(format!("status {}", head.status).into());
        }
        match (gw.front_end.read_stage_answer)(&bytes) {
            Some(outcomes) if outcomes.len() == items.len() && is_new(stages, &outcomes) => {
                CallEnd::Answered(outcomes)
            }
            _ => {
                gw.pool.forget(endpoint.address);
                CallEnd::Lost("the answer belongs to another call or cannot be read".into())
            }
        }
    };
    match monoio::time::timeout(patience, send).await {
        Ok(end) => end,
        Err(_) => {
            gw.pool.forget(endpoint.address);
            CallEnd::Lost(format!("no answer within {} ms", patience.as_millis()).into())
        }
    }
}

/// Tells whether no result was seen before; an endpoint may send an answer twice.
fn is_new(stages: &ServiceStages, outcomes: &[PieceOutcome]) -> bool {
    let kept = stages.kept.borrow();
    outcomes.iter().all(|o| !matches!(o, PieceOutcome::Made(handle) if kept.contains(handle)))
}

fn encode(
    gw: &Gateway,
    stages: &ServiceStages,
    endpoint: &ServingEndpoint,
    items: &[StageItem],
) -> Option<RelayCall> {
    let now = gw.now();
    let jobs = stages.jobs.borrow();
    let mut encoded = Vec::with_capacity(items.len());
    for item in items {
        let job = jobs.get(&item.job)?;
        encoded.push(StageCallItem {
            call: &job.request.call,
            stage: job.request.stage,
            piece: item.piece,
            left: Millis::new(item.deadline.since(now).as_millis() as u64),
            source: &job.request.source,
        });
    }
    let call = StageCall { endpoint: &endpoint.id, items: encoded };
    let call = (gw.front_end.stage_call)(&call);
    Some(gw.relay_call(call, endpoint.address, CONNECT_LIMIT, MAX_IDLE))
}

fn take_outcomes(
    gw: &Rc<Gateway>,
    stages: &Rc<ServiceStages>,
    endpoint: &ServingEndpoint,
    limits: &BatchLimits,
    items: Vec<StageItem>,
    outcomes: Vec<PieceOutcome>,
) {
    let now = gw.now();
    let mut unwanted = Vec::new();
    let mut no_room = false;
    for (item, outcome) in items.into_iter().zip(outcomes) {
        match outcome {
            PieceOutcome::Made(handle) => {
                let room = FreedCapacity { endpoint: endpoint.id.clone(), size: item.result_size };
                let until = now.plus(limits.result_ttl.duration());
                stages.kept.borrow_mut().insert(handle.clone(), room, until);
                stages.with_work(&endpoint.id, |work| work.reserve_capacity(item.result_size));
                let mut jobs = stages.jobs.borrow_mut();
                let Some(job) = jobs.get_mut(&item.job) else {
                    unwanted.push(handle);
                    continue;
                };
                unwanted.extend(job.take_result(item.piece, handle));
                let is_complete = job.missing == 0;
                drop(jobs);
                if is_complete {
                    stages.complete_job(item.job);
                }
            }
            PieceOutcome::Failed(PieceFailure::Late) => {
                unwanted.extend(stages.fail_job(item.job, StageFailure::Late));
            }
            PieceOutcome::Failed(PieceFailure::InputGone) => {
                unwanted.extend(stages.fail_job(item.job, StageFailure::InputGone));
            }
            PieceOutcome::Failed(PieceFailure::NoRoom) => {
                no_room = true;
                retry_item(gw, stages, item);
            }
            PieceOutcome::Failed(PieceFailure::Failed) => retry_item(gw, stages, item),
        }
    }
    if no_room {
        stages.with_work(&endpoint.id, |work| work.record_full(now, limits));
    }
    release_results(gw, stages, unwanted);
}

/// Puts an item back that may have been made; its stage fails when that happens too often.
fn retry_item(gw: &Rc<Gateway>, stages: &Rc<ServiceStages>, mut item: StageItem) {
    item.failures += 1;
    let exhausted = item.failures > MAX_FAILURES;
    if !exhausted && !stages.jobs.borrow().contains_key(&item.job) {
        return;
    }
    if exhausted || !gw.take_repeat(&stages.service) {
        fail_jobs(gw, stages, [item.job], StageFailure::Failed);
        return;
    }
    stages.queue.borrow_mut().push([item]);
}

fn still_wanted(stages: &ServiceStages, items: Vec<StageItem>) -> Vec<StageItem> {
    let jobs = stages.jobs.borrow();
    items.into_iter().filter(|item| jobs.contains_key(&item.job)).collect()
}
