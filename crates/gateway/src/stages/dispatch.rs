use masticstair_core::catalog::BatchLimits;
use masticstair_core::prelude::*;
use masticstair_policy::directory::ServingEndpoint;
use masticstair_policy::stage_queue::{EndpointLoad, EndpointOffer, hold_until, unreachable_until};
use smallvec::SmallVec;
use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::batch_call::{begin_call, run_call};
use super::record_use::record_use;
use super::release_results::fail_jobs;
use super::service_stages::ServiceStages;
use crate::Gateway;
use crate::messages::StageFailure;
use crate::stage_permits::take_stage_permit;

/// An endpoint is slow compared to another one if its calls take more than this multiple of the other's time.
const SLOW_FACTOR: f64 = 1.5;

/// How often waiting items are dispatched again, because backoffs end and items expire without an event.
const REDISPATCH_INTERVAL: Duration = Duration::from_millis(40);

/// While at most this many rounds of full calls wait, only late first stages are removed. With more, late
/// stages are removed even if their requests have results of earlier stages.
const FIRST_STAGE_ONLY_ROUNDS: usize = 2;

/// Dispatches the items of every service, after the endpoints have changed.
pub(crate) fn dispatch_all(gw: &Rc<Gateway>) {
    for stages in gw.stages.all() {
        dispatch(gw, &stages);
    }
}

/// Dispatches the items of a service after all messages and answers that have already arrived are processed. With many
/// hosts, several of them arrive at a time.
pub(super) fn dispatch_soon(gw: &Rc<Gateway>, stages: &Rc<ServiceStages>) {
    if stages.is_dispatch_due.replace(true) {
        return;
    }
    let (gw, stages) = (gw.clone(), stages.clone());
    monoio::spawn(async move {
        stages.is_dispatch_due.set(false);
        dispatch(&gw, &stages);
    });
}

/// Starts calls until no endpoint is free or no item is waiting.
fn dispatch(gw: &Rc<Gateway>, stages: &Rc<ServiceStages>) {
    if stages.queue.borrow().is_empty() {
        return;
    }
    let limits = gw.batch_limits(&stages.service);
    let endpoints = gw.endpoints(&stages.service);
    let (Some(limits), false) = (limits, endpoints.is_empty()) else {
        fail_all(gw, stages);
        return;
    };
    let now = gw.now();
    stages.expire_results(now);
    remove_expired(gw, stages, &endpoints, &limits);
    remove_late(gw, stages, &endpoints, &limits);
    remove_unreachable(gw, stages, &endpoints, &limits);
    let mut without_capacity = HashSet::new();
    let max_items = limits.items.get().max(1) as usize;
    let mut over = overloaded(gw, stages, &endpoints, max_items);
    let arrivals = stages.arrivals.get().per_second(now);
    let mut held_in: SmallVec<[DataCentreId; 4]> = SmallVec::new();
    while let Some(endpoint) = next_endpoint(gw, stages, &endpoints, &limits, &without_capacity) {
        if held_in.contains(&endpoint.data_centre) {
            without_capacity.insert(endpoint.id.clone());
            continue;
        }
        let full = max_items.min(stages.queue.borrow().len());
        let local = endpoints.iter().filter(|e| e.data_centre == endpoint.data_centre).count();
        let offer = EndpointOffer {
            data_centre: endpoint.data_centre.clone(),
            overloaded: over.clone(),
            local_starts: local_starts(gw, stages, &endpoints, &limits),
            max_items,
            free_capacity: stages
                .with_endpoint_load(&endpoint.id, |load| load.free_capacity(now, &limits)),
            full_call_time: stages
                .with_endpoint_load(&endpoint.id, |load| load.expected_call_time(&limits, full)),
            largest_call_time: stages.with_endpoint_load(&endpoint.id, |load| {
                load.expected_call_time(&limits, max_items)
            }),
            arrivals: arrivals * local as f64 / endpoints.len() as f64,
            endpoints: local,
            faster_completion: time_at_faster_endpoints(gw, stages, &endpoints, &endpoint, &limits),
        };
        let outlook = stages.queue.borrow().outlook(now, &offer);
        if let Some(until) = outlook.and_then(|outlook| hold_until(now, &outlook)) {
            held_in.push(endpoint.data_centre.clone());
            dispatch_at(gw, stages, until);
            continue;
        }
        if !take_stage_permit(gw, &endpoint) {
            without_capacity.insert(endpoint.id.clone());
            continue;
        }
        let items = stages.queue.borrow_mut().take_call(now, &offer);
        if items.is_empty() {
            without_capacity.insert(endpoint.id.clone());
            continue;
        }
        record_use(gw, stages, &limits, &items, offer.free_capacity, endpoints.len());
        begin_call(gw, stages, &endpoint, &limits, &items);
        over = overloaded(gw, stages, &endpoints, max_items);
        monoio::spawn(run_call(gw.clone(), stages.clone(), endpoint, limits, items));
    }
    schedule_dispatch(gw, stages);
}

/// Returns the fastest free endpoint, preferring data centres that items are waiting for.
fn next_endpoint(
    gw: &Gateway,
    stages: &ServiceStages,
    endpoints: &[Arc<ServingEndpoint>],
    limits: &BatchLimits,
    without_capacity: &HashSet<EndpointId>,
) -> Option<Arc<ServingEndpoint>> {
    let now = gw.now();
    let queue = stages.queue.borrow();
    if queue.is_empty() {
        return None;
    }
    let free = endpoints.iter().filter(|e| {
        !without_capacity.contains(&e.id)
            && gw.pause_of(e).is_zero()
            && stages.with_endpoint_load(&e.id, |load| load.is_free(now, limits))
    });
    let items = queue.len().min(limits.items.get() as usize);
    let preferred = queue.preferred_data_centres();
    let best = free.min_by_key(|e| {
        let expected =
            stages.with_endpoint_load(&e.id, |load| load.expected_call_time(limits, items));
        (!preferred.contains(&e.data_centre), expected)
    })?;
    Some(best.clone())
}

/// Returns how long the endpoints that are faster than `slow` take to complete an item that waits now: the
/// queue is shared among them, and then the slowest of their calls follows.
fn time_at_faster_endpoints(
    gw: &Gateway,
    stages: &ServiceStages,
    endpoints: &[Arc<ServingEndpoint>],
    slow: &ServingEndpoint,
    limits: &BatchLimits,
) -> Option<Duration> {
    let now = gw.now();
    let max_items = limits.items.get().max(1) as usize;
    let full = |id: &EndpointId| {
        stages.with_endpoint_load(id, |load| load.expected_call_time(limits, max_items))
    };
    let bound = full(&slow.id).div_f64(SLOW_FACTOR);
    let is_faster = |e: &&Arc<ServingEndpoint>| {
        stages.with_endpoint_load(&e.id, |load| now >= load.backoff_until) && full(&e.id) < bound
    };
    let faster: Vec<_> = endpoints.iter().filter(is_faster).map(|e| full(&e.id)).collect();
    let slowest = faster.iter().max()?;
    let rounds = 1 + stages.queue.borrow().len() / (max_items * faster.len());
    Some(*slowest * (rounds as u32 + 1))
}

/// Returns the data centres with more waiting items than their endpoints take with their next calls.
fn overloaded(
    gw: &Gateway,
    stages: &ServiceStages,
    endpoints: &[Arc<ServingEndpoint>],
    max_items: usize,
) -> SmallVec<[DataCentreId; 4]> {
    let now = gw.now();
    stages.queue.borrow().overloaded(|data_centre| {
        let is_usable = |e: &&Arc<ServingEndpoint>| {
            e.data_centre == *data_centre
                && stages.with_endpoint_load(&e.id, |load| now >= load.backoff_until)
        };
        endpoints.iter().filter(is_usable).count() * max_items
    })
}

/// Returns when the items that prefer a data centre are expected to have started there.
fn local_starts(
    gw: &Gateway,
    stages: &ServiceStages,
    endpoints: &[Arc<ServingEndpoint>],
    limits: &BatchLimits,
) -> SmallVec<[(DataCentreId, Timestamp); 4]> {
    let now = gw.now();
    let free_at = |e: &Arc<ServingEndpoint>| {
        let at = stages.with_endpoint_load(&e.id, |load| load.free_at(now, limits));
        (e.data_centre.clone(), at)
    };
    let free_at: SmallVec<[_; 32]> = endpoints.iter().map(free_at).collect();
    let max_items = limits.items.get().max(1) as usize;
    let full = EndpointLoad::default().expected_call_time(limits, max_items);
    stages.queue.borrow().local_starts(&free_at, max_items, full)
}

/// Removes stages that would miss their deadline even if the fastest endpoint started them now.
fn remove_expired(
    gw: &Rc<Gateway>,
    stages: &Rc<ServiceStages>,
    endpoints: &[Arc<ServingEndpoint>],
    limits: &BatchLimits,
) {
    let fastest = endpoints
        .iter()
        .map(|e| stages.with_endpoint_load(&e.id, |load| load.expected_call_time(limits, 1)))
        .min()
        .unwrap_or_default();
    let expired = stages.queue.borrow_mut().remove_expired(gw.now(), fastest);
    fail_jobs(gw, stages, expired, StageFailure::Late);
}

/// Removes stages that would be late while the endpoints have enough work that is on time. An immediate
/// refusal serves the client better than a late answer that delays the next one.
fn remove_late(
    gw: &Rc<Gateway>,
    stages: &Rc<ServiceStages>,
    endpoints: &[Arc<ServingEndpoint>],
    limits: &BatchLimits,
) {
    let next_calls = endpoints.len() * limits.items.get().max(1) as usize;
    let waiting = stages.queue.borrow().len();
    if waiting <= next_calls {
        return;
    }
    let call = limits.call_overhead.duration();
    let first_stage_only = waiting <= FIRST_STAGE_ONLY_ROUNDS * next_calls;
    let late = stages.queue.borrow_mut().remove_late(gw.now(), call, first_stage_only);
    fail_jobs(gw, stages, late, StageFailure::Late);
}

/// Removes stages that would be late by the time the first endpoint is retried, while all endpoints are in a
/// long backoff. A host whose data centre is cut off may reach none, and the client can retry at another host.
fn remove_unreachable(
    gw: &Rc<Gateway>,
    stages: &Rc<ServiceStages>,
    endpoints: &[Arc<ServingEndpoint>],
    limits: &BatchLimits,
) {
    let backoffs =
        endpoints.iter().map(|e| stages.with_endpoint_load(&e.id, |load| load.backoff_until));
    let Some(next) = unreachable_until(gw.now(), backoffs) else { return };
    let late = stages.queue.borrow_mut().remove_late(next, limits.call_overhead.duration(), false);
    fail_jobs(gw, stages, late, StageFailure::Late);
}

fn fail_all(gw: &Rc<Gateway>, stages: &Rc<ServiceStages>) {
    let numbers: Vec<_> = stages.jobs.borrow().keys().copied().collect();
    let failure = match gw.service_pause(&stages.service) {
        Some(left) => StageFailure::Paused(Millis::new(left.as_millis() as u64 + 1)),
        None => StageFailure::NoEndpoint,
    };
    fail_jobs(gw, stages, numbers, failure);
}

/// Dispatches the items again at a time, unless that is due before anyway.
fn dispatch_at(gw: &Rc<Gateway>, stages: &Rc<ServiceStages>, until: Timestamp) {
    let now = gw.now();
    if stages.held_until.get().is_some_and(|earlier| now < earlier && earlier <= until) {
        return;
    }
    stages.held_until.set(Some(until));
    let (gw, stages) = (gw.clone(), stages.clone());
    monoio::spawn(async move {
        monoio::time::sleep(until.since(now)).await;
        if stages.held_until.get() == Some(until) {
            stages.held_until.set(None);
        }
        dispatch(&gw, &stages);
    });
}

fn schedule_dispatch(gw: &Rc<Gateway>, stages: &Rc<ServiceStages>) {
    if stages.queue.borrow().is_empty() || stages.is_dispatch_scheduled.replace(true) {
        return;
    }
    let (gw, stages) = (gw.clone(), stages.clone());
    monoio::spawn(async move {
        monoio::time::sleep(REDISPATCH_INTERVAL).await;
        stages.is_dispatch_scheduled.set(false);
        dispatch(&gw, &stages);
    });
}
