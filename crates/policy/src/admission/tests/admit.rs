use super::*;

struct AdmitCase {
    guards: &'static str,
    change: fn(&mut QueueView),
    deadline_ms: u64,
    expected: Result<std::ops::RangeInclusive<u64>, u32>,
}

#[test]
fn requests_are_admitted_by_deadline() {
    // Ok: range of the wait in ms. Err: Retry-After in seconds. Costs are in microseconds.
    let cases = [
        AdmitCase {
            guards: "an idle host rejects or delays a request",
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
                q.account.cost_ahead = Cost::new(10_000_000);
                q.account.waiting_cost = Cost::new(10_000_000);
                q.account.concurrency = Slots::new(100);
                q.in_flight = q.limit;
            },
            deadline_ms: 3_000,
            expected: Ok(1_000..=1_050),
        },
        AdmitCase {
            guards: "a queue grows that only delays recovery",
            change: |q| {
                q.account.cost_ahead = Cost::new(10_000_000);
                q.in_flight = q.limit;
            },
            deadline_ms: 2_000,
            expected: Err(1),
        },
        AdmitCase {
            guards: "Retry-After is shorter than the backlog",
            change: |q| {
                q.account.cost_ahead = Cost::new(50_000_000);
                q.account.waiting_cost = Cost::new(50_000_000);
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
                q.account.waiting_cost = Cost::new(2_000_000);
                q.account.cost_ahead = Cost::new(2_000_000);
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
            AdmissionDecision::Admit => Ok(0),
            AdmissionDecision::Queue { wait } => Ok(wait.as_millis() as u64),
            AdmissionDecision::Refuse(refusal) => Err(refusal.retry_after_s),
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
            guards: "a request that may succeed is abandoned while nobody waits",
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

proptest! {
    /// Guards against admitting a request whose expected wait and work exceed its deadline.
    #[test]
    fn no_admitted_request_exceeds_its_deadline(
        deadline in 0u64..5_000,
        now in 0u64..5_000,
        waiting in 0u64..20_000_000,
        others in 0u64..20_000_000,
        in_flight in 0u32..20,
        rate_wait in 0u64..2_000,
    ) {
        let mut queue = idle_queue();
        queue.account.waiting_cost = Cost::new(waiting);
        queue.account.cost_ahead = Cost::new(waiting + others);
        queue.account.rate_wait = ms(rate_wait);
        queue.in_flight = Slots::new(in_flight);
        let work = expected_work(&stages());
        match admit(at(now), at(deadline), &queue, &stages()) {
            AdmissionDecision::Admit => prop_assert!(at(now).plus(work) < at(deadline)),
            AdmissionDecision::Queue { wait } => prop_assert!(at(now).plus(wait).plus(work) < at(deadline)),
            AdmissionDecision::Refuse(refusal) => prop_assert!((1..=30).contains(&refusal.retry_after_s)),
        }
    }
}
