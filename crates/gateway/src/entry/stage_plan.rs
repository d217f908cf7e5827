use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use masticstair_core::prelude::*;
use masticstair_policy::request_crashes::RequestStanding;
use slog::info;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use super::check_stage::{record_stage_end, stage_standing};
use super::client_request::ClientRequest;
use super::held_results::HeldResults;
use super::pause_refusal::return_delay;
use super::stage_results::StageResults;
use crate::Gateway;
use crate::front_end::{Refusal, RefusalReason, StageSource};
use crate::messages::{StageFailure, StageOutcome, StageRequest};
use crate::stages::submit_stage;

/// Assumed until the first stage of a service is measured.
const DEFAULT_STAGE_TIME: Duration = Duration::from_millis(250);

/// Assumed until the first event of a service is measured.
const DEFAULT_FIRST_EVENT_TIME: Duration = Duration::from_millis(200);

const STAGES_RETRY_AFTER: Millis = Millis::new(700);

/// How often the stages of a request are restarted after an input was lost.
const MAX_RESTARTS: u32 = 1;

/// A request is never refused for being late while its stages wait less than this.
const MIN_CONGESTION_WAIT: Duration = Duration::from_millis(150);

/// Bounds of the retry delay sent with a refusal.
const RETRY_AFTER_RANGE: [Duration; 2] =
    [Duration::from_millis(1_000), Duration::from_millis(2_500)];

/// Refuses a request whose stages are so busy that its answer would be late.
pub(super) fn admit_stages(gw: &Gateway, req: &ClientRequest) -> Result<(), Refusal> {
    let now = gw.now();
    let stages = &req.route.stages;
    // The expected time until each stage is complete, along the longest path to it.
    let mut longest = vec![Duration::ZERO; stages.len()];
    let mut longest_wait = Duration::ZERO;
    let mut busiest = None;
    for (stage, spec) in stages.iter().enumerate() {
        let inputs_ready =
            spec.after.iter().map(|before| longest[*before]).max().unwrap_or_default();
        let pieces = req.meta.pieces.get(stage).copied().unwrap_or(1);
        longest[stage] = inputs_ready;
        if pieces > 0 {
            let wait = gw.stage_times.wait(now, &spec.service, req.priority);
            if wait > longest_wait {
                (longest_wait, busiest) = (wait, Some(&spec.service));
            }
            let call = nominal_call_time(gw, &spec.service, pieces);
            longest[stage] += wait + call.max(gw.stage_times.call(now, &spec.service));
        }
    }
    let first = gw.stage_times.get(&req.service, DEFAULT_FIRST_EVENT_TIME);
    let expected = longest.into_iter().max().unwrap_or_default() + first;
    let left = req.due().since(now);
    if longest_wait < MIN_CONGESTION_WAIT || expected <= left {
        return Ok(());
    }
    let retry_after = (expected - left).clamp(RETRY_AFTER_RANGE[0], RETRY_AFTER_RANGE[1]);
    let detail = format!(
        "the first event is expected after {} ms ({} ms is on time); {} ms of it wait for {}, as told {} ms ago",
        expected.as_millis(),
        left.as_millis(),
        longest_wait.as_millis(),
        busiest.map_or("none", ServiceName::as_str),
        busiest.map_or(0, |service| gw.stage_times.age(now, service).as_millis())
    );
    let refusal = Refusal::not_run(RefusalReason::Stages, detail);
    Err(refusal.with_retry_after(Millis::new(retry_after.as_millis() as u64)))
}

/// Returns the duration of a call that has only the pieces of one request.
fn nominal_call_time(gw: &Gateway, service: &ServiceName, pieces: u32) -> Duration {
    gw.batch_limits(service).map_or(DEFAULT_STAGE_TIME, |l| {
        l.call_overhead.duration() + Duration::from_micros(l.item_us) * pieces.min(l.items.get())
    })
}

/// Runs the stages of a request and returns the results that the target of the route needs.
///
/// `near` is the data centre in which they are needed.
pub(super) async fn run_stages(
    gw: &Rc<Gateway>,
    req: &ClientRequest,
    near: Option<&DataCentreId>,
    held: &mut HeldResults,
) -> Result<StageResults, Refusal> {
    let mut restarts = 0;
    loop {
        match try_stages(gw, req, near, held).await {
            Ok(results) => return Ok(results),
            Err(StageFailure::InputGone) if restarts < MAX_RESTARTS => {
                restarts += 1;
                info!(gw.log, "stage input lost; restarting the stages"; "request" => %req.meta.call);
                held.release_all();
            }
            Err(failure) => {
                held.release_all();
                let detail = format!("the stages were not done: {failure}");
                let (reason, retry_after) = match failure {
                    StageFailure::Paused(left) => {
                        (RefusalReason::Paused, return_delay(left.duration()))
                    }
                    _ => (RefusalReason::Stages, STAGES_RETRY_AFTER),
                };
                return Err(Refusal::not_run(reason, detail).with_retry_after(retry_after));
            }
        }
    }
}

async fn try_stages(
    gw: &Rc<Gateway>,
    req: &ClientRequest,
    near: Option<&DataCentreId>,
    held: &mut HeldResults,
) -> Result<StageResults, StageFailure> {
    let stages = &req.route.stages;
    let count = |stage: usize| req.meta.pieces.get(stage).copied().unwrap_or(1);
    let mut results: Vec<Option<Vec<ResultHandle>>> =
        (0..stages.len()).map(|stage| (count(stage) == 0).then(Vec::new)).collect();
    let mut started = vec![false; stages.len()];
    let mut running = FuturesUnordered::new();
    loop {
        for (stage, spec) in stages.iter().enumerate() {
            let is_ready = spec.after.iter().all(|after| results[*after].is_some());
            if started[stage] || results[stage].is_some() || !is_ready {
                continue;
            }
            started[stage] = true;
            let inputs: Vec<_> =
                spec.after.iter().filter_map(|after| results[*after].clone()).flatten().collect();
            let source = match (inputs.is_empty(), &req.meta.piece_key) {
                (true, Some(key)) => StageSource::Key(key.clone()),
                _ => StageSource::Inputs(inputs),
            };
            let request = stage_request(gw, req, stage, count(stage), source, near);
            running.push(async move {
                let started_at = gw.now();
                let end = submit_stage(gw, request).await;
                record_stage_end(gw, req, &spec.service, started_at, &end);
                (stage, gw.now().since(started_at), end.outcome)
            });
        }
        let Some((stage, took, outcome)) = running.next().await else { break };
        match outcome {
            StageOutcome::Done(handles) => {
                gw.stage_times.record(&stages[stage].service, took);
                held.hold(&stages[stage].service, handles.clone());
                results[stage] = Some(handles);
                release_consumed(req, stage, &results, held);
            }
            StageOutcome::Failed(failure) => return Err(failure),
        }
    }
    let is_last = |stage: usize| !stages.iter().any(|s| s.after.contains(&stage));
    let last = (0..stages.len()).filter(|stage| is_last(*stage));
    let last_results =
        last.filter_map(|stage| Some((stages[stage].result_size, results[stage].clone()?)));
    Ok(StageResults::new(gw, last_results.collect()))
}

/// Releases the inputs of a completed stage, unless another stage needs them.
fn release_consumed(
    req: &ClientRequest,
    done: usize,
    results: &[Option<Vec<ResultHandle>>],
    held: &mut HeldResults,
) {
    let stages = &req.route.stages;
    for before in &stages[done].after {
        let needed = stages
            .iter()
            .enumerate()
            .any(|(stage, s)| s.after.contains(before) && results[stage].is_none());
        if let (false, Some(inputs)) = (needed, &results[*before]) {
            held.release(inputs);
        }
    }
}

fn stage_request(
    gw: &Gateway,
    req: &ClientRequest,
    stage: usize,
    pieces: u32,
    source: StageSource,
    near: Option<&DataCentreId>,
) -> StageRequest {
    let now = gw.now();
    let remaining = time_after_stage(gw, req, stage);
    let spec = &req.route.stages[stage];
    let near = inputs_data_centre(gw, req, stage, &source).or(near.cloned());
    let due = req.due().since(now).saturating_sub(remaining);
    // The later stages take time even when they run fast, and a result that just misses the deadline is
    // wasted work.
    let left = req.next_event_by().since(now).saturating_sub(remaining / 2);
    StageRequest {
        call: req.meta.call.clone(),
        stage: stage as u32,
        service: spec.service.clone(),
        pieces,
        source,
        due: Millis::new(due.as_millis() as u64),
        left: Millis::new(left.as_millis() as u64),
        priority: req.priority,
        near,
        result: spec.result_size,
        is_suspected: stage_standing(gw, req, &spec.service) != RequestStanding::Clear,
    }
}

/// Returns the data centre of the inputs of a stage if they are larger than its results. Each piece fetches
/// all inputs.
fn inputs_data_centre(
    gw: &Gateway,
    req: &ClientRequest,
    stage: usize,
    source: &StageSource,
) -> Option<DataCentreId> {
    let StageSource::Inputs(inputs) = source else { return None };
    let stages = &req.route.stages;
    let spec = &stages[stage];
    let largest = spec.after.iter().map(|before| stages[*before].result_size.get()).max()?;
    if largest * inputs.len() as u64 <= spec.result_size.get() {
        return None;
    }
    let directory = gw.directory.borrow();
    let mut counts: HashMap<&DataCentreId, usize> = HashMap::new();
    for address in inputs.iter().filter_map(gw.front_end.result_address) {
        if let Some(data_centre) = directory.data_centre_at(address) {
            *counts.entry(data_centre).or_default() += 1;
        }
    }
    counts.into_iter().max_by_key(|(_, count)| *count).map(|(data_centre, _)| data_centre.clone())
}

/// Returns the expected time of a request after a stage: the longest path through the stages that depend on
/// it, and the first event.
fn time_after_stage(gw: &Gateway, req: &ClientRequest, stage: usize) -> Duration {
    let stages = &req.route.stages;
    // The expected time from the end of each stage to that of the last one, along the longest path.
    let mut longest = vec![Duration::ZERO; stages.len()];
    for later in (stage + 1..stages.len()).rev() {
        let stage_time = gw.stage_times.get(&stages[later].service, DEFAULT_STAGE_TIME);
        let total = longest[later] + stage_time;
        for before in &stages[later].after {
            longest[*before] = longest[*before].max(total);
        }
    }
    longest[stage] + gw.stage_times.get(&req.service, DEFAULT_FIRST_EVENT_TIME)
}
