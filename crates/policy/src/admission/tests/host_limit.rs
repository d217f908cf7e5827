use super::*;

struct LimitCase {
    guards: &'static str,
    inflation: f64,
    intervals: u64,
    limit: std::ops::RangeInclusive<u32>,
}

#[test]
fn host_limit_follows_the_inflation_of_latencies() {
    // The limit starts at 50 and is fully used in every interval.
    let cases = [
        LimitCase {
            guards: "a burst is passed on to the endpoints",
            inflation: 4.0,
            intervals: 50,
            limit: 4..=10,
        },
        LimitCase {
            guards: "the limit does not recover within two seconds",
            inflation: 1.2,
            intervals: 20,
            limit: 200..=200,
        },
        LimitCase {
            guards: "the limit falls below its lower bound",
            inflation: 100.0,
            intervals: 1_000,
            limit: 4..=4,
        },
    ];
    for case in cases {
        let mut limit = HostLimit::new(at(0), Slots::new(50), Slots::new(200), Slots::new(4));
        for i in 1..=case.intervals {
            while limit.try_acquire(WorkClass::Work) {}
            for _ in 0..10 {
                limit.record_latency(at(i * 100), ms(100).mul_f64(case.inflation), ms(100));
            }
            while limit.in_flight(WorkClass::Work).get() > 0 {
                limit.release(WorkClass::Work);
            }
        }
        let got = limit.limit(WorkClass::Work).get();
        assert!(case.limit.contains(&got), "{}: {got}", case.guards);
    }
}

#[test]
fn short_calls_do_not_lower_the_limit() {
    // Guards against timer resolution lowering the limit: calls of 1 ms are observed as up to 3 ms.
    let mut limit = HostLimit::new(at(0), Slots::new(50), Slots::new(200), Slots::new(4));
    for i in 1..1_000 {
        while limit.try_acquire(WorkClass::Work) {}
        limit.record_latency(at(i * 10), ms(1 + i % 3), ms(1));
        while limit.in_flight(WorkClass::Work).get() > 0 {
            limit.release(WorkClass::Work);
        }
    }
    assert!(limit.limit(WorkClass::Work) >= Slots::new(50));
}

#[test]
fn unused_limit_does_not_grow() {
    // Guards against an unused limit that grows and lets the next burst through.
    let mut limit = HostLimit::new(at(0), Slots::new(50), Slots::new(200), Slots::new(4));
    (1..1_000).for_each(|i| limit.record_latency(at(i * 10), ms(100), ms(100)));
    assert_eq!(limit.limit(WorkClass::Work), Slots::new(50));
}

proptest! {
    /// Guards against other work taking the slots reserved for lookups, and against running more
    /// requests than the limit and the reserved slots allow.
    #[test]
    fn lookups_keep_their_slots(steps in proptest::collection::vec((0u8..4, 1u64..8), 1..300)) {
        let mut limit = HostLimit::new(at(0), Slots::new(20), Slots::new(40), Slots::new(4));
        let mut now = 0;
        for (kind, size) in steps {
            now += 50;
            match kind {
                0 => {
                    limit.try_acquire(WorkClass::Work);
                }
                1 => {
                    limit.try_acquire(WorkClass::Lookup);
                }
                2 => limit.release(WorkClass::Work),
                _ => limit.record_latency(at(now), ms(100 * size), ms(100)),
            }
            let running = limit.in_flight(WorkClass::Lookup).get();
            prop_assert!(limit.limit(WorkClass::Lookup).get() >= 4);
            prop_assert!(running >= 4 || limit.clone().try_acquire(WorkClass::Lookup));
            prop_assert!(running + limit.in_flight(WorkClass::Work).get() <= 44);
        }
    }
}
