use crate::host::{Host, limits};
use masticstair_core::prelude::*;
use masticstair_policy::admission::admit;
use masticstair_policy::estimate::{CallOutcome, EndpointEstimate, PoolEstimate};
use masticstair_policy::fair_queue::*;
use masticstair_policy::routing::{CandidateView, RouteRequest, choose_endpoint};
use std::hint::black_box;
use std::time::{Duration, Instant};

/// Number of runs per measured function.
const RUNS: u64 = 200_000;
/// Number of candidates of a choice.
const CANDIDATES: usize = 16;
/// Number of active accounts in the queue.
const ACCOUNTS: u64 = 1_000;

/// Prints the mean execution time of the decision functions.
pub fn print() {
    println!();
    time_routing();
    time_queue();
}

fn time(name: &str, mut run: impl FnMut(u64)) {
    let start = Instant::now();
    (0..RUNS).for_each(&mut run);
    println!("{name:<44} {:>6.0} ns", start.elapsed().as_nanos() as f64 / RUNS as f64);
}

fn time_routing() {
    let ids: Vec<EndpointId> =
        (0..CANDIDATES).filter_map(|i| format!("e{i}").parse().ok()).collect();
    let mut host = Host::new(0);
    let (mut pool, size) = (PoolEstimate::new(), TokenCount::new(50));
    let mut endpoints = vec![EndpointEstimate::new(Timestamp::new(0)); CANDIDATES];
    for endpoint in &mut endpoints {
        let call = endpoint.begin(Timestamp::new(0), size);
        endpoint.finish(Timestamp::new(500_000), call, CallOutcome::Success(size), &mut pool);
        for i in 0..4 {
            endpoint.begin(Timestamp::new(500_000 + i), size);
        }
    }
    let now = Timestamp::new(600_000);
    let template = host.candidates(now, 0, size, &ids[..1])[0];
    let views = || -> Vec<CandidateView<'_>> {
        let latency = |e: &EndpointEstimate| e.latency(now, size, &pool).mean;
        let view = |(id, e)| CandidateView { id, latency: latency(e), ..template };
        ids.iter().zip(&endpoints).map(view).collect()
    };
    let candidates = views();
    let route = RouteRequest { tried: &ids[..1], hedge: false, may_probe: true };
    time("choose, 16 candidates", |i| {
        black_box(choose_endpoint(now, black_box(&candidates), &route, Draw::new(i)));
    });
    time("choose and 16 estimates", |i| {
        black_box(choose_endpoint(now, black_box(&views()), &route, Draw::new(i)));
    });
    time("retry budget, one call", |i| host.budget.record_call(Timestamp::new(i * 100)));
}

fn time_queue() {
    let bounds = QueueBounds { total: Slots::new(1_000_000), account: Slots::new(1_000_000) };
    let mut queue = FairQueue::new(bounds);
    let accounts: Vec<AccountId> =
        (0..ACCOUNTS).filter_map(|i| format!("a{i}").parse().ok()).collect();
    let account = |i: u64| &accounts[(i * 7_919 % ACCOUNTS) as usize];
    time("enqueue, 1,000 accounts", |i| {
        let request = QueuedRequest {
            ticket: TicketId::new(i),
            class: WorkClass::Work,
            cost: Cost::new(1_000),
            deadline: Timestamp::new(i * 10 + 1_000_000_000),
        };
        black_box(queue.enqueue(Timestamp::new(i), account(i), limits(), request).is_ok());
    });
    let (cost, mut host) = (Cost::new(1_000), Host::new(0));
    let stages = host.estimates(0, 50);
    time("view and admit, 1,000 accounts", |i| {
        let mut view = host.queue_view(Timestamp::new(RUNS), account(i), cost);
        view.account =
            queue.view(Timestamp::new(RUNS), account(i), &limits(), WorkClass::Work, cost);
        let deadline = Timestamp::new(RUNS).plus(Duration::from_secs(4));
        black_box(admit(Timestamp::new(RUNS), deadline, &view, &stages));
    });
    time("dequeue, 1,000 accounts", |i| {
        black_box(queue.dequeue(Timestamp::new(RUNS + i), WorkClass::Work, |_| false));
    });
    time("finish, 1,000 accounts", |i| {
        queue.finish(Timestamp::new(2 * RUNS + i), TicketId::new(i));
    });
    time("host limit, start and end", |_| {
        if black_box(host.limit.try_acquire(WorkClass::Work)) {
            host.limit.release(WorkClass::Work);
        }
    });
}
