use super::*;
use crate::estimate::Share;
use masticstair_core::prelude::*;
use proptest::prelude::*;

const POOL: PoolHealth = PoolHealth { members: Slots::new(4), ejected: Slots::new(0) };

fn at(ms: u64) -> Timestamp {
    Timestamp::new(ms * 1_000)
}

struct EjectCase {
    guards: &'static str,
    /// One character per call: `+` for success, `-` for failure.
    calls: &'static str,
    pool: PoolHealth,
    ejected: bool,
}

#[test]
fn failures_eject_an_endpoint() {
    let health = |members, ejected| PoolHealth {
        members: Slots::new(members),
        ejected: Slots::new(ejected),
    };
    let cases = [
        EjectCase {
            guards: "a failing endpoint keeps its traffic",
            calls: "++---",
            pool: POOL,
            ejected: true,
        },
        EjectCase {
            guards: "two consecutive failures eject an endpoint",
            calls: "++--+--+",
            pool: POOL,
            ejected: false,
        },
        EjectCase {
            guards: "an endpoint that fails mostly but not consecutively keeps its traffic",
            calls: "+--+--+--+--",
            pool: POOL,
            ejected: true,
        },
        EjectCase {
            guards: "the only endpoint of a pool is ejected",
            calls: "------",
            pool: health(1, 0),
            ejected: false,
        },
        EjectCase {
            guards: "more than half of a pool is ejected",
            calls: "------",
            pool: health(5, 2),
            ejected: false,
        },
        EjectCase {
            guards: "a pool does not eject half of its endpoints",
            calls: "------",
            pool: health(4, 1),
            ejected: true,
        },
    ];
    for case in cases {
        let mut breaker = CircuitBreaker::new();
        for (i, call) in case.calls.chars().enumerate() {
            breaker.record(at(i as u64 * 10), call == '+', &case.pool);
        }
        assert_eq!(breaker.is_ejected(), case.ejected, "{}", case.guards);
    }
}

fn ejected_breaker() -> CircuitBreaker {
    let mut breaker = CircuitBreaker::new();
    (0..3).for_each(|_| breaker.record(at(0), false, &POOL));
    breaker
}

struct ReturnCase {
    guards: &'static str,
    probe_succeeds: bool,
    after_probe_ms: u64,
    status: BreakerStatus,
}

#[test]
fn probe_brings_an_endpoint_back_gradually() {
    let cases = [
        ReturnCase {
            guards: "a recovered endpoint gets its full traffic at once",
            probe_succeeds: true,
            after_probe_ms: 0,
            status: BreakerStatus::Recovering(Share::clamped(0.125)),
        },
        ReturnCase {
            guards: "the share of traffic does not double",
            probe_succeeds: true,
            after_probe_ms: 1_000,
            status: BreakerStatus::Recovering(Share::clamped(0.5)),
        },
        ReturnCase {
            guards: "an endpoint never completes its recovery",
            probe_succeeds: true,
            after_probe_ms: 1_500,
            status: BreakerStatus::Closed,
        },
        ReturnCase {
            guards: "the time to the next probe does not double after a failed probe",
            probe_succeeds: false,
            after_probe_ms: 1_900,
            status: BreakerStatus::Ejected,
        },
        ReturnCase {
            guards: "an endpoint is not probed again after a failed probe",
            probe_succeeds: false,
            after_probe_ms: 2_000,
            status: BreakerStatus::ProbeDue,
        },
    ];
    for case in cases {
        let mut breaker = ejected_breaker();
        assert!(breaker.begin_probe(at(1_000)), "{}", case.guards);
        breaker.record(at(1_010), case.probe_succeeds, &POOL);
        assert_eq!(breaker.status(at(1_010 + case.after_probe_ms)), case.status, "{}", case.guards);
    }
}

#[test]
fn only_one_probe_is_in_flight() {
    // Guards against several worker threads sending a probe at the same time, and against a lost probe
    // that leaves the endpoint ejected permanently.
    let mut breaker = ejected_breaker();
    assert!(!breaker.begin_probe(at(999)));
    assert!(breaker.begin_probe(at(1_000)));
    assert!(!breaker.begin_probe(at(1_001)));
    assert!(breaker.begin_probe(at(3_000)));
}

proptest! {
    /// Guards against ejecting more than half of a pool, for any sequence of failures.
    #[test]
    fn at_most_half_of_a_pool_is_ejected(
        members in 1usize..9,
        calls in proptest::collection::vec((0usize..9, any::<bool>(), 0u64..400), 1..300),
    ) {
        let mut breakers = vec![CircuitBreaker::new(); members];
        let mut now = 0;
        for (endpoint, success, pause) in calls {
            now += pause;
            let endpoint = endpoint % members;
            let ejected = breakers.iter().filter(|b| b.is_ejected()).count();
            let pool = PoolHealth {
                members: Slots::new(members as u32),
                ejected: Slots::new(ejected as u32),
            };
            breakers[endpoint].begin_probe(at(now));
            breakers[endpoint].record(at(now), success, &pool);
            let ejected = breakers.iter().filter(|b| b.is_ejected()).count();
            prop_assert!(ejected * 2 <= members);
        }
    }
}
