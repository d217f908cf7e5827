use masticstair_core::catalog::BatchLimits;
use masticstair_core::prelude::*;
use masticstair_policy::directory::ServingEndpoint;
use masticstair_policy::stage_queue::{EndpointOffer, unreachable_until};
use smallvec::SmallVec;
use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::call::{begin_call, run_call};
use super::release::fail_jobs;
use super::service_stages::ServiceStages;
use crate::Gateway;
use crate::messages::StageFailure;

/// An endpoint whose calls take this much longer than those of another one is slow beside it.
const SLOW_FACTOR: f64 = 1.5;

/// How often items that wait are looked at without an event, for endpoints that were left alone and items
/// whose time passes.
const LOOK_AGAIN: Duration = Duration::from_millis(40);

/// Rounds of full calls above which stages that would be late are dropped although earlier ones are done.
const LATE_ROUNDS: usize = 2;

/// Starts calls on every service, after the endpoints have changed.
pub(crate) fn pump_all(gw: &Rc<Gateway>) {
    for stages in gw.stages.all() {
        pump(gw, &stages);
    }
}

/// Starts as many calls as endpoints are free.
pub(crate) fn pump(gw: &Rc<Gateway>, stages: &Rc<ServiceStages>) {
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
    drop_hopeless(gw, stages, &endpoints, &limits);
    drop_late(gw, stages, &endpoints, &limits);
    drop_stranded(gw, stages, &endpoints, &limits);
    let mut without_room = HashSet::new();
    while let Some(endpoint) = next_endpoint(gw, stages, &endpoints, &limits, &without_room) {
        let items = limits.items.get().max(1) as usize;
        let full = items.min(stages.queue.borrow().len());
        let offer = EndpointOffer {
            data_centre: endpoint.data_centre.clone(),
            overloaded: overflowing(gw, stages, &endpoints, items),
            max_items: items,
            free_capacity: stages.with_work(&endpoint.id, |work| work.free_capacity(now, &limits)),
            full_call_time: stages
                .with_work(&endpoint.id, |work| work.expected_call_time(&limits, full)),
            faster_completion: elsewhere(gw, stages, &endpoints, &endpoint, &limits),
        };
        let items = stages.queue.borrow_mut().take_call(now, &offer);
        if items.is_empty() {
            without_room.insert(endpoint.id.clone());
            continue;
        }
        begin_call(stages, &endpoint, &items);
        monoio::spawn(run_call(gw.clone(), stages.clone(), endpoint, limits, items));
    }
    look_again(gw, stages);
}

/// Returns the free endpoint that items are waiting for nearby, and among those the fastest one.
fn next_endpoint(
    gw: &Gateway,
    stages: &ServiceStages,
    endpoints: &[Arc<ServingEndpoint>],
    limits: &BatchLimits,
    without_room: &HashSet<EndpointId>,
) -> Option<Arc<ServingEndpoint>> {
    let now = gw.now();
    let queue = stages.queue.borrow();
    if queue.is_empty() {
        return None;
    }
    let free = endpoints.iter().filter(|e| {
        !without_room.contains(&e.id) && stages.with_work(&e.id, |w| w.is_free(now, limits))
    });
    let best = free.min_by_key(|e| {
        let expected = stages.with_work(&e.id, |w| {
            w.expected_call_time(limits, queue.len().min(limits.items.get() as usize))
        });
        (queue.waiting_near(&e.data_centre) == 0, expected)
    })?;
    Some(best.clone())
}

/// Returns the time within which the endpoints that are faster than `slow` end the call of an item that waits
/// now: what waits is shared among them, and the slowest of their calls follows.
fn elsewhere(
    gw: &Gateway,
    stages: &ServiceStages,
    endpoints: &[Arc<ServingEndpoint>],
    slow: &ServingEndpoint,
    limits: &BatchLimits,
) -> Option<Duration> {
    let now = gw.now();
    let items = limits.items.get().max(1) as usize;
    let full =
        |id: &EndpointId| stages.with_work(id, |work| work.expected_call_time(limits, items));
    let bound = full(&slow.id).div_f64(SLOW_FACTOR);
    let is_faster = |e: &&Arc<ServingEndpoint>| {
        stages.with_work(&e.id, |w| now >= w.backoff_until) && full(&e.id) < bound
    };
    let faster: Vec<_> = endpoints.iter().filter(is_faster).map(|e| full(&e.id)).collect();
    let slowest = faster.iter().max()?;
    let rounds = 1 + stages.queue.borrow().len() / (items * faster.len());
    Some(*slowest * (rounds as u32 + 1))
}

fn overflowing(
    gw: &Gateway,
    stages: &ServiceStages,
    endpoints: &[Arc<ServingEndpoint>],
    items: usize,
) -> SmallVec<[DataCentreId; 4]> {
    let now = gw.now();
    stages.queue.borrow().overloaded(|data_centre| {
        let takes_work = |e: &&Arc<ServingEndpoint>| {
            e.data_centre == *data_centre && stages.with_work(&e.id, |w| now >= w.backoff_until)
        };
        endpoints.iter().filter(takes_work).count() * items
    })
}

fn drop_hopeless(
    gw: &Rc<Gateway>,
    stages: &Rc<ServiceStages>,
    endpoints: &[Arc<ServingEndpoint>],
    limits: &BatchLimits,
) {
    let fastest = endpoints
        .iter()
        .map(|e| stages.with_work(&e.id, |work| work.expected_call_time(limits, 1)))
        .min()
        .unwrap_or_default();
    let hopeless = stages.queue.borrow_mut().remove_expired(gw.now(), fastest);
    fail_jobs(gw, stages, hopeless, StageFailure::Late);
}

/// Drops stages that would be late while the endpoints have enough to do that is on time: a refusal at once
/// serves the client better than an answer that comes late and makes the next one late.
fn drop_late(
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
    let call = limits.call.duration();
    let first_only = waiting <= LATE_ROUNDS * next_calls;
    let late = stages.queue.borrow_mut().remove_late(gw.now(), call, first_only);
    fail_jobs(gw, stages, late, StageFailure::Late);
}

/// Drops stages that would be late when the first endpoint is tried again, while all of them are left alone:
/// a host whose data centre is cut off may reach none, and the client can ask another host.
fn drop_stranded(
    gw: &Rc<Gateway>,
    stages: &Rc<ServiceStages>,
    endpoints: &[Arc<ServingEndpoint>],
    limits: &BatchLimits,
) {
    let avoided = endpoints.iter().map(|e| stages.with_work(&e.id, |work| work.backoff_until));
    let Some(next) = unreachable_until(gw.now(), avoided) else { return };
    let late = stages.queue.borrow_mut().remove_late(next, limits.call.duration(), false);
    fail_jobs(gw, stages, late, StageFailure::Late);
}

fn fail_all(gw: &Rc<Gateway>, stages: &Rc<ServiceStages>) {
    let numbers: Vec<_> = stages.jobs.borrow().keys().copied().collect();
    fail_jobs(gw, stages, numbers, StageFailure::NoEndpoint);
}

fn look_again(gw: &Rc<Gateway>, stages: &Rc<ServiceStages>) {
    if stages.queue.borrow().is_empty() || stages.timer.replace(true) {
        return;
    }
    let (gw, stages) = (gw.clone(), stages.clone());
    monoio::spawn(async move {
        monoio::time::sleep(LOOK_AGAIN).await;
        stages.timer.set(false);
        pump(&gw, &stages);
    });
}
