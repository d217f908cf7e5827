use super::*;
use crate::estimate::{Latency, Share};
use crate::fair_queue::{Cost, WorkClass};
use masticstair_core::prelude::*;
use proptest::prelude::*;
use std::time::Duration;

fn at(ms: u64) -> Timestamp {
    Timestamp::new(ms * 1_000)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Two stages of 100 ms with a deviation of 20 ms.
fn stages() -> [StageEstimate; 2] {
    [StageEstimate { latency: Latency { mean: ms(100), deviation: ms(20) } }; 2]
}

fn idle_queue() -> QueueView {
    let account = AccountView {
        waiting: Cost::new(0),
        total_waiting: Cost::new(0),
        share: Share::ONE,
        running: Slots::new(0),
        concurrency: Slots::new(10),
        rate_wait: Duration::ZERO,
    };
    QueueView { account, limit: Slots::new(10), in_flight: Slots::new(0) }
}

struct AdmitCase {
    guards: &'static str,
    change: fn(&mut QueueView),
    deadline_ms: u64,
    expected: Result<std::ops::RangeInclusive<u64>, u32>,
}

#[test]
fn requests_are_admitted_by_deadline() {
    // Ok: the wait in ms. Err: Retry-After in seconds. Waiting cost is in microseconds.
    let cases = [
        AdmitCase {
            guards: "an idle host refuses or delays",
            change: |_| {},
            deadline_ms: 250,
            expected: Ok(0..=0),
        },
        AdmitCase {
            guards: "a request is admitted whose stages take longer than its deadline",
            change: |_| {},
            deadline_ms: 150,
            expected: Err(1),
        },
        AdmitCase {
            guards: "the backlog of the host is not counted",
            change: |q| {
                q.account.total_waiting = Cost::new(10_000_000);
                q.account.waiting = Cost::new(10_000_000);
                q.account.concurrency = Slots::new(100);
                q.in_flight = q.limit;
            },
            deadline_ms: 2_000,
            expected: Ok(1_000..=1_050),
        },
        AdmitCase {
            guards: "an account with little work waits for the backlog of another",
            change: |q| {
                q.account.total_waiting = Cost::new(100_000_000);
                q.account.share = Share::clamped(0.5);
                q.in_flight = q.limit;
            },
            deadline_ms: 2_000,
            expected: Ok(0..=50),
        },
        AdmitCase {
            guards: "Retry-After is shorter than the backlog",
            change: |q| {
                q.account.total_waiting = Cost::new(50_000_000);
                q.account.waiting = Cost::new(50_000_000);
                q.account.concurrency = Slots::new(100);
                q.in_flight = q.limit;
            },
            deadline_ms: 1_000,
            expected: Err(5),
        },
        AdmitCase {
            guards: "the concurrency limit of the account is not counted",
            change: |q| {
                q.account.running = Slots::new(2);
                q.account.concurrency = Slots::new(2);
                q.account.waiting = Cost::new(2_000_000);
                q.account.total_waiting = Cost::new(2_000_000);
            },
            deadline_ms: 3_000,
            expected: Ok(1_000..=1_200),
        },
        AdmitCase {
            guards: "the rate of the account is not counted",
            change: |q| q.account.rate_wait = ms(7_000),
            deadline_ms: 1_000,
            expected: Err(7),
        },
    ];
    for case in cases {
        let mut queue = idle_queue();
        (case.change)(&mut queue);
        let got = match admit(at(0), at(case.deadline_ms), &queue, &stages()) {
            Admission::Admit => Ok(0),
            Admission::Queue { wait } => Ok(wait.as_millis() as u64),
            Admission::Refuse(refusal) => Err(refusal.retry_after_s),
        };
        let matches = match (&case.expected, &got) {
            (Ok(range), Ok(wait)) => range.contains(wait),
            (Err(expected), Err(got)) => expected == got,
            _ => false,
        };
        assert!(matches, "{}: {got:?}", case.guards);
    }
}

struct StageCase {
    guards: &'static str,
    contended: bool,
    remaining_ms: u64,
    runs: bool,
}

#[test]
fn late_requests_are_stopped_between_stages() {
    let cases = [
        StageCase {
            guards: "a late request takes a slot that others wait for",
            contended: true,
            remaining_ms: 190,
            runs: false,
        },
        StageCase {
            guards: "a request that may succeed is given up while nobody waits",
            contended: false,
            remaining_ms: 190,
            runs: true,
        },
        StageCase {
            guards: "work is spent on a request that can't succeed",
            contended: false,
            remaining_ms: 150,
            runs: false,
        },
    ];
    for case in cases {
        let result = check_stage(at(0), at(case.remaining_ms), &stages(), case.contended);
        assert_eq!(result.is_ok(), case.runs, "{}", case.guards);
    }
}

struct LimitCase {
    guards: &'static str,
    inflation: f64,
    intervals: u64,
    limit: std::ops::RangeInclusive<u32>,
}

#[test]
fn host_limit_follows_the_inflation_of_latencies() {
    // The limit starts at 50, and as much work runs as it allows.
    let cases = [
        LimitCase {
            guards: "a burst is passed on to the endpoints",
            inflation: 4.0,
            intervals: 10,
            limit: 4..=10,
        },
        LimitCase {
            guards: "the limit does not recover within two seconds",
            inflation: 1.2,
            intervals: 20,
            limit: 200..=200,
        },
        LimitCase {
            guards: "the limit falls without end",
            inflation: 100.0,
            intervals: 1_000,
            limit: 4..=4,
        },
    ];
    for case in cases {
        let mut limit = HostLimit::new(at(0), Slots::new(50), Slots::new(200), Slots::new(4));
        for i in 1..=case.intervals {
            while limit.try_start(WorkClass::Work) {}
            for _ in 0..10 {
                limit.observe(at(i * 100), ms(100).mul_f64(case.inflation), ms(100));
            }
            while limit.in_flight(WorkClass::Work).get() > 0 {
                limit.end(WorkClass::Work);
            }
        }
        let got = limit.limit(WorkClass::Work).get();
        assert!(case.limit.contains(&got), "{}: {got}", case.guards);
    }
}

#[test]
fn unused_limit_does_not_grow() {
    // Guards against a limit that has grown without use and lets the next burst through.
    let mut limit = HostLimit::new(at(0), Slots::new(50), Slots::new(200), Slots::new(4));
    (1..1_000).for_each(|i| limit.observe(at(i * 10), ms(100), ms(100)));
    assert_eq!(limit.limit(WorkClass::Work), Slots::new(50));
}

proptest! {
    /// Guards against lookups that find no slot because of other work, and against more requests than
    /// the limit and the reserve allow.
    #[test]
    fn lookups_keep_their_slots(steps in proptest::collection::vec((0u8..4, 1u64..8), 1..300)) {
        let mut limit = HostLimit::new(at(0), Slots::new(20), Slots::new(40), Slots::new(4));
        let mut now = 0;
        for (kind, size) in steps {
            now += 50;
            match kind {
                0 => {
                    limit.try_start(WorkClass::Work);
                }
                1 => {
                    limit.try_start(WorkClass::Lookup);
                }
                2 => limit.end(WorkClass::Work),
                _ => limit.observe(at(now), ms(100 * size), ms(100)),
            }
            let running = limit.in_flight(WorkClass::Lookup).get();
            prop_assert!(limit.limit(WorkClass::Lookup).get() >= 4);
            prop_assert!(running >= 4 || limit.clone().try_start(WorkClass::Lookup));
            prop_assert!(running + limit.in_flight(WorkClass::Work).get() <= 44);
        }
    }

    /// Guards against an admitted request whose expected wait and work pass its deadline.
    #[test]
    fn no_deadline_is_extended(
        deadline in 0u64..5_000,
        now in 0u64..5_000,
        waiting in 0u64..20_000_000,
        others in 0u64..20_000_000,
        share in 0.01f64..1.0,
        in_flight in 0u32..20,
        rate_wait in 0u64..2_000,
    ) {
        let mut queue = idle_queue();
        queue.account.waiting = Cost::new(waiting);
        queue.account.total_waiting = Cost::new(waiting + others);
        queue.account.share = Share::clamped(share);
        queue.account.rate_wait = ms(rate_wait);
        queue.in_flight = Slots::new(in_flight);
        let work = expected_work(&stages());
        match admit(at(now), at(deadline), &queue, &stages()) {
            Admission::Admit => prop_assert!(at(now).plus(work) < at(deadline)),
            Admission::Queue { wait } => prop_assert!(at(now).plus(wait).plus(work) < at(deadline)),
            Admission::Refuse(refusal) => prop_assert!((1..=30).contains(&refusal.retry_after_s)),
        }
    }
}
