use super::*;
use crate::breaker::BreakerStatus;
use crate::estimate::Share;
use masticstair_core::prelude::*;
use proptest::prelude::*;
use std::time::Duration;

const NOW: Timestamp = Timestamp::new(10_000_000);
const ANY: RouteRequest<'static> = RouteRequest { tried: &[], hedge: false, may_probe: false };
const DRAWS: u64 = 2_000;

fn ids(count: usize) -> Vec<EndpointId> {
    (0..count).map(|i| format!("e{i}").parse().unwrap()).collect()
}

fn view(id: &EndpointId) -> CandidateView<'_> {
    CandidateView {
        id,
        round_trip: Duration::ZERO,
        capacity: Slots::new(4),
        in_flight: Slots::new(0),
        report: None,
        latency: Duration::from_millis(10),
        success: Share::ONE,
        breaker_status: BreakerStatus::Closed,
        leaving: false,
        lease_until: Timestamp::new(20_000_000),
    }
}

/// Returns how often each candidate is chosen in `DRAWS` draws.
fn counts(candidates: &[CandidateView<'_>], request: &RouteRequest<'_>) -> Vec<u64> {
    let mut counts = vec![0; candidates.len()];
    for i in 0..DRAWS {
        let draw = Draw::new(i.wrapping_mul(0x9E37_79B9_7F4A_7C15));
        if let Some(choice) = choose_endpoint(NOW, candidates, request, draw) {
            counts[choice.position] += 1;
        }
    }
    counts
}

struct RouteCase {
    guards: &'static str,
    /// Modifies the three equal candidates `e0`, `e1` and `e2`.
    change: fn(&mut [CandidateView<'_>]),
    tried: &'static [&'static str],
    hedge: bool,
    may_probe: bool,
    /// Bounds of the share of calls of each candidate.
    shares: [(f64, f64); 3],
}

const NEVER: (f64, f64) = (0.0, 0.0);
const ALWAYS: (f64, f64) = (1.0, 1.0);
const SOME: (f64, f64) = (0.2, 0.8);
const PLAIN: RouteCase = RouteCase {
    guards: "equal endpoints do not share the traffic",
    change: |_| {},
    tried: &[],
    hedge: false,
    may_probe: false,
    shares: [(0.25, 0.42); 3],
};

fn cases() -> Vec<RouteCase> {
    vec![
        PLAIN,
        RouteCase {
            guards: "a leaving or expired endpoint gets work",
            change: |c| {
                c[0].leaving = true;
                c[1].lease_until = NOW;
            },
            shares: [NEVER, NEVER, ALWAYS],
            ..PLAIN
        },
        RouteCase {
            guards: "a slow endpoint gets as many calls as the others",
            change: |c| c[0].latency = Duration::from_millis(100),
            shares: [(0.0, 0.05), SOME, SOME],
            ..PLAIN
        },
        RouteCase {
            guards: "an endpoint that fails fast attracts traffic",
            change: |c| {
                c[0].latency = Duration::from_millis(1);
                c[0].success = Share::ZERO;
            },
            shares: [(0.0, 0.2), SOME, SOME],
            ..PLAIN
        },
        RouteCase {
            guards: "an endpoint that reports a long queue gets work",
            change: |c| {
                let (running, queued) = (Slots::new(4), Slots::new(40));
                c[0].report = Some(LoadReport { running, queued, received_at: NOW });
            },
            shares: [(0.0, 0.05), SOME, SOME],
            ..PLAIN
        },
        RouteCase {
            guards: "an old report keeps an endpoint idle",
            change: |c| {
                let (running, queued) = (Slots::new(4), Slots::new(40));
                c[0].report = Some(LoadReport { running, queued, received_at: Timestamp::new(0) });
            },
            shares: [SOME; 3],
            ..PLAIN
        },
        RouteCase {
            guards: "calls leave the data centre without need",
            change: |c| c[1].round_trip = Duration::from_millis(30),
            shares: [(0.4, 0.6), NEVER, (0.4, 0.6)],
            ..PLAIN
        },
        RouteCase {
            guards: "calls stay in a data centre that is much slower",
            change: |c| {
                c[1].round_trip = Duration::from_millis(2);
                c[0].latency = Duration::from_millis(200);
                c[2].latency = Duration::from_millis(200);
            },
            shares: [NEVER, ALWAYS, NEVER],
            ..PLAIN
        },
        RouteCase {
            guards: "a retry goes to the endpoint that failed",
            tried: &["e0", "e1"],
            shares: [NEVER, NEVER, ALWAYS],
            ..PLAIN
        },
        RouteCase {
            guards: "a retry fails when every endpoint was tried",
            tried: &["e0", "e1", "e2"],
            ..PLAIN
        },
        RouteCase {
            guards: "a hedge goes to an endpoint that already has the call",
            tried: &["e0", "e1", "e2"],
            hedge: true,
            shares: [NEVER; 3],
            ..PLAIN
        },
        RouteCase {
            guards: "an ejected endpoint gets traffic",
            change: |c| c[0].breaker_status = BreakerStatus::Ejected,
            shares: [NEVER, SOME, SOME],
            ..PLAIN
        },
        RouteCase {
            guards: "a pool whose endpoints are all ejected serves nothing",
            change: |c| c.iter_mut().for_each(|c| c.breaker_status = BreakerStatus::Ejected),
            ..PLAIN
        },
        RouteCase {
            guards: "a probe is never sent",
            change: |c| c[1].breaker_status = BreakerStatus::ProbeDue,
            may_probe: true,
            shares: [NEVER, ALWAYS, NEVER],
            ..PLAIN
        },
        RouteCase {
            guards: "a call that can't be repeated serves as a probe",
            change: |c| c[1].breaker_status = BreakerStatus::ProbeDue,
            shares: [SOME, NEVER, SOME],
            ..PLAIN
        },
        RouteCase {
            guards: "a recovering endpoint gets its full share at once",
            change: |c| c[0].breaker_status = BreakerStatus::Recovering(Share::clamped(0.125)),
            shares: [(0.01, 0.15), SOME, SOME],
            ..PLAIN
        },
    ]
}

#[test]
fn endpoints_get_their_share() {
    for case in cases() {
        let ids = ids(3);
        let mut candidates: Vec<_> = ids.iter().map(view).collect();
        (case.change)(&mut candidates);
        let tried: Vec<EndpointId> = case.tried.iter().map(|t| t.parse().unwrap()).collect();
        let (hedge, may_probe) = (case.hedge, case.may_probe);
        let counts = counts(&candidates, &RouteRequest { tried: &tried, hedge, may_probe });
        for (count, (low, high)) in counts.iter().zip(case.shares) {
            let share = *count as f64 / DRAWS as f64;
            assert!((low..=high).contains(&share), "{}: {counts:?}", case.guards);
        }
    }
}

#[test]
fn hosts_do_not_herd() {
    // Guards against herding: all hosts send to the endpoint that looks best to all of them.
    let ids = ids(12);
    let mut candidates: Vec<_> = ids.iter().map(view).collect();
    candidates[3].latency = Duration::from_millis(9);
    let counts = counts(&candidates, &ANY);
    assert!(counts[3] < DRAWS / 4, "{counts:?}");
}

fn breaker_status(kind: u8) -> BreakerStatus {
    match kind {
        0 => BreakerStatus::Closed,
        1 => BreakerStatus::Ejected,
        2 => BreakerStatus::ProbeDue,
        _ => BreakerStatus::Recovering(Share::clamped(0.25)),
    }
}

proptest! {
    /// Guards against rejecting a pool with live endpoints, choosing an endpoint that is leaving or
    /// expired, and hedging to a tried or ejected endpoint.
    #[test]
    fn a_live_pool_is_always_used(
        kinds in proptest::collection::vec((0u8..4, 0u8..5, any::<bool>(), 0u64..500), 1..20),
        hedge: bool,
        may_probe: bool,
        draw: u64,
    ) {
        let ids = ids(kinds.len());
        let mut candidates: Vec<_> = ids.iter().map(view).collect();
        let mut tried = Vec::new();
        for (candidate, (kind, liveness, was_tried, latency)) in candidates.iter_mut().zip(&kinds) {
            candidate.breaker_status = breaker_status(*kind);
            candidate.leaving = *liveness == 0;
            candidate.lease_until = if *liveness == 1 { NOW } else { candidate.lease_until };
            candidate.latency = Duration::from_millis(*latency);
            if *was_tried {
                tried.push(candidate.id.clone());
            }
        }
        let live: Vec<_> = candidates.iter().filter(|c| !c.leaving && c.lease_until > NOW).collect();
        let untried = live.iter().any(|c| !tried.contains(c.id));
        let request = RouteRequest { tried: &tried, hedge, may_probe };
        match choose_endpoint(NOW, &candidates, &request, Draw::new(draw)) {
            Some(choice) => {
                let chosen = &candidates[choice.position];
                prop_assert!(!chosen.leaving && chosen.lease_until > NOW);
                prop_assert!(!tried.contains(chosen.id) || (!untried && !hedge));
                prop_assert!(!hedge || chosen.breaker_status.admits_traffic());
                prop_assert!(!choice.probe || (may_probe && chosen.breaker_status == BreakerStatus::ProbeDue));
            }
            None => prop_assert!(live.is_empty() || hedge),
        }
    }
}
