use super::*;
use masticstair_core::prelude::*;
use proptest::prelude::*;
use std::time::Duration;

const MS: u64 = 1_000;

fn at(ms: u64) -> Timestamp {
    Timestamp::new(ms * MS)
}

fn tokens(n: u64) -> TokenCount {
    TokenCount::new(n)
}

/// Runs `count` sequential calls of `latency_ms` each, starting at `start_ms`.
fn run(
    endpoint: &mut EndpointEstimate,
    pool: &mut PoolEstimate,
    start_ms: u64,
    latency_ms: u64,
    count: u64,
) {
    for i in 0..count {
        let start = start_ms + i * latency_ms;
        let call = endpoint.begin(at(start), tokens(0));
        endpoint.finish(at(start + latency_ms), call, CallOutcome::Success(tokens(0)), pool);
    }
}

struct QuietCase {
    guards: &'static str,
    quiet_ms: u64,
    mean_ms: std::ops::RangeInclusive<u64>,
}

#[test]
fn quiet_endpoint_moves_towards_its_pool() {
    // The endpoint took 100 ms and its pool takes 10 ms.
    let cases = [
        QuietCase {
            guards: "a slow endpoint is preferred right after a slow call",
            quiet_ms: 0,
            mean_ms: 95..=100,
        },
        QuietCase { guards: "an estimate decays immediately", quiet_ms: 5_000, mean_ms: 60..=90 },
        QuietCase {
            guards: "an endpoint that was slow once is never tried again",
            quiet_ms: 60_000,
            mean_ms: 8..=20,
        },
    ];
    for case in cases {
        let (mut pool, mut other) = (PoolEstimate::new(), EndpointEstimate::new(at(0)));
        let mut endpoint = EndpointEstimate::new(at(0));
        run(&mut endpoint, &mut pool, 0, 100, 20);
        run(&mut other, &mut pool, 2_000, 10, 100);
        let now = at(2_000 + case.quiet_ms);
        let mean = endpoint.latency(now, tokens(0), &pool).mean.as_millis() as u64;
        assert!(case.mean_ms.contains(&mean), "{}: {mean} ms", case.guards);
    }
}

struct InFlightCase {
    guards: &'static str,
    age_ms: u64,
    at_least_ms: u64,
    at_most_ms: u64,
}

#[test]
fn call_in_flight_raises_the_estimate() {
    let cases = [
        InFlightCase {
            guards: "a call within its time counts as slow",
            age_ms: 10,
            at_least_ms: 10,
            at_most_ms: 11,
        },
        InFlightCase {
            guards: "a hanging endpoint is only detected when its calls time out",
            age_ms: 300,
            at_least_ms: 290,
            at_most_ms: 310,
        },
    ];
    for case in cases {
        let (mut pool, mut endpoint) = (PoolEstimate::new(), EndpointEstimate::new(at(0)));
        run(&mut endpoint, &mut pool, 0, 10, 50);
        let call = endpoint.begin(at(500), tokens(0));
        let mean = endpoint.latency(at(500 + case.age_ms), tokens(0), &pool).mean.as_millis();
        let range = u128::from(case.at_least_ms)..=u128::from(case.at_most_ms);
        assert!(range.contains(&mean), "{}: {mean} ms", case.guards);
        // Abandoning a late call must not restore the old estimate.
        endpoint.finish(at(500 + case.age_ms), call, CallOutcome::Abandoned, &mut pool);
        let after = endpoint.latency(at(500 + case.age_ms), tokens(0), &pool).mean.as_millis();
        assert!(case.age_ms == 10 || after > 30, "{}: {after} ms afterwards", case.guards);
    }
}

struct SizeCase {
    guards: &'static str,
    streamed: bool,
    size: u64,
    mean_ms: std::ops::RangeInclusive<u128>,
}

#[test]
fn generation_counts_the_size_of_the_work() {
    // Answers take 100 ms to the first token and 20 ms for each of the 49 others.
    let cases = [
        SizeCase {
            guards: "a short answer is estimated like a long one",
            streamed: true,
            size: 10,
            mean_ms: 290..=310,
        },
        SizeCase {
            guards: "a long answer is estimated like a short one",
            streamed: true,
            size: 500,
            mean_ms: 9_900..=10_300,
        },
        SizeCase {
            guards: "answers that are not streamed give no estimate",
            streamed: false,
            size: 50,
            mean_ms: 1_000..=1_150,
        },
    ];
    for case in cases {
        let (mut pool, mut endpoint) = (PoolEstimate::new(), EndpointEstimate::new(at(0)));
        for i in 0..40 {
            let start = i * 1_080;
            let call = endpoint.begin(at(start), tokens(50));
            if case.streamed {
                endpoint.progress(at(start + 100), call, tokens(1));
            }
            endpoint.finish(at(start + 1_080), call, CallOutcome::Success(tokens(50)), &mut pool);
        }
        let mean = endpoint.latency(at(43_200), tokens(case.size), &pool).mean.as_millis();
        assert!(case.mean_ms.contains(&mean), "{}: {mean} ms", case.guards);
    }
}

struct UnloadedCase {
    guards: &'static str,
    /// The latency of every call, in milliseconds.
    latency_ms: u64,
    reported_ms: Option<u64>,
    unloaded_ms: u128,
}

#[test]
fn unloaded_latency_follows_the_endpoint_and_the_floor() {
    let cases = [
        UnloadedCase {
            guards: "a host that starts under load treats the loaded latency as unloaded",
            latency_ms: 400,
            reported_ms: Some(100),
            unloaded_ms: 105,
        },
        UnloadedCase {
            guards: "network time counts as load when calls are short",
            latency_ms: 4,
            reported_ms: Some(1),
            unloaded_ms: 4,
        },
        UnloadedCase {
            guards: "an endpoint that reports no processing time has no unloaded latency",
            latency_ms: 400,
            reported_ms: None,
            unloaded_ms: 400,
        },
    ];
    for case in cases {
        let (mut pool, mut endpoint) = (PoolEstimate::new(), EndpointEstimate::new(at(0)));
        assert!(endpoint.unloaded_latency(tokens(0), None).is_zero(), "{}", case.guards);
        run(&mut endpoint, &mut pool, 0, case.latency_ms, 50);
        let reported = case.reported_ms.map(|t| EngineTime::new(t * MS));
        let unloaded = endpoint.unloaded_latency(tokens(0), reported).as_millis();
        assert_eq!(unloaded, case.unloaded_ms, "{}", case.guards);
    }
}

#[test]
fn floor_accepts_a_lasting_change() {
    // Guards against a floor that never rises after an endpoint has become slower, and against one
    // that follows a burst of ten seconds.
    let (mut pool, mut endpoint) = (PoolEstimate::new(), EndpointEstimate::new(at(0)));
    run(&mut endpoint, &mut pool, 0, 100, 100);
    run(&mut endpoint, &mut pool, 10_000, 200, 50);
    assert!(endpoint.unloaded_latency(tokens(0), None) <= Duration::from_millis(115));
    run(&mut endpoint, &mut pool, 20_000, 200, 600);
    assert!(endpoint.unloaded_latency(tokens(0), None) >= Duration::from_millis(195));
}

#[test]
fn fast_errors_lower_the_success_and_not_the_latency() {
    // Guards against an endpoint that attracts traffic because its errors are fast.
    let (mut pool, mut endpoint) = (PoolEstimate::new(), EndpointEstimate::new(at(0)));
    run(&mut endpoint, &mut pool, 0, 50, 20);
    for i in 0..10 {
        let call = endpoint.begin(at(1_000 + i), tokens(0));
        endpoint.finish(at(1_001 + i), call, CallOutcome::Failure, &mut pool);
    }
    let latency = endpoint.latency(at(1_011), tokens(0), &pool).mean;
    assert!(latency >= Duration::from_millis(45), "{latency:?}");
    assert!(endpoint.success(at(1_011), &pool).get() < 0.4);
}

#[test]
fn late_end_of_an_unknown_call_is_ignored() {
    // Guards against counting a call twice when its outcome is reported twice.
    let (mut pool, mut endpoint) = (PoolEstimate::new(), EndpointEstimate::new(at(0)));
    let call = endpoint.begin(at(0), tokens(0));
    endpoint.begin(at(0), tokens(0));
    endpoint.finish(at(5), call, CallOutcome::Failure, &mut pool);
    endpoint.finish(at(6), call, CallOutcome::Failure, &mut pool);
    assert_eq!(endpoint.in_flight(), Slots::new(1));
}

proptest! {
    /// Guards against estimates outside the range of the samples and success rates outside 0 to 1, for
    /// any mix of outcomes.
    #[test]
    fn estimates_stay_within_bounds(
        calls in proptest::collection::vec((1u64..2_000, 0u8..3, 0u64..20_000), 1..60),
    ) {
        let (mut pool, mut endpoint) = (PoolEstimate::new(), EndpointEstimate::new(at(0)));
        let mut now = 0;
        for (latency, end, pause) in calls {
            let call = endpoint.begin(at(now), tokens(0));
            now += latency;
            let end = match end {
                0 => CallOutcome::Success(tokens(0)),
                1 => CallOutcome::Failure,
                _ => CallOutcome::Abandoned,
            };
            endpoint.finish(at(now), call, end, &mut pool);
            now += pause;
            let mean = endpoint.latency(at(now), tokens(0), &pool).mean;
            prop_assert!(mean <= Duration::from_millis(2_000));
            let success = endpoint.success(at(now), &pool).get();
            prop_assert!((0.0..=1.0).contains(&success));
        }
        prop_assert_eq!(endpoint.in_flight(), Slots::new(0));
    }
}
