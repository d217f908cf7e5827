use super::*;
use masticstair_core::prelude::*;
use proptest::prelude::*;
use std::collections::HashMap;

const BOUNDS: QueueBounds =
    QueueBounds { total: Slots::new(100_000), account: Slots::new(100_000) };
const FAR: u64 = 1_000_000;

fn at(ms: u64) -> Timestamp {
    Timestamp::new(ms * 1_000)
}

fn id(name: &str) -> AccountId {
    name.parse().unwrap()
}

fn limits(weight: u32) -> AccountLimits {
    AccountLimits {
        weight: Weight::new(weight),
        concurrency: Slots::new(1_000_000),
        rate: 1e6.try_into().unwrap(),
        burst: Slots::new(1_000_000),
    }
}

fn request(ticket: u64, deadline_ms: u64) -> QueuedRequest {
    QueuedRequest {
        ticket: TicketId::new(ticket),
        class: WorkClass::Work,
        cost: Cost::new(1_000),
        deadline: at(deadline_ms),
    }
}

/// Takes the next request, which is late when its deadline is less than its cost away.
fn dequeue(queue: &mut FairQueue, now_ms: u64, class: WorkClass) -> Option<Dequeued> {
    let now = at(now_ms);
    queue.dequeue(now, class, |r| r.deadline.since(now).as_micros() < r.cost.get().into())
}

fn granted(ticket: u64) -> Option<Dequeued> {
    Some(Dequeued::Granted(TicketId::new(ticket)))
}

#[derive(Clone, Copy)]
enum Step {
    /// Account, ticket, deadline in ms.
    Add(&'static str, u64, u64),
    /// Account and ticket of a lookup.
    AddLookup(&'static str, u64),
    /// Time in ms, class and result.
    Take(u64, WorkClass, Option<Dequeued>),
    Finish(u64),
    Cancel(u64, bool),
}

struct QueueCase {
    guards: &'static str,
    limits: AccountLimits,
    steps: Vec<Step>,
}

fn cases() -> Vec<QueueCase> {
    use Step::{Add, AddLookup, Cancel, Finish, Take};
    use WorkClass::{Lookup, Work};
    let slots = |n| AccountLimits { concurrency: Slots::new(n), ..limits(1) };
    let slow = AccountLimits { rate: 10.0.try_into().unwrap(), burst: Slots::new(1), ..limits(1) };
    let late = |t| Some(Dequeued::Late(TicketId::new(t)));
    vec![
        QueueCase {
            guards: "a later deadline of an account is served first",
            limits: limits(1),
            steps: vec![
                Add("a", 1, 900),
                Add("a", 2, 500),
                Take(0, Work, granted(2)),
                Take(0, Work, granted(1)),
                Take(0, Work, None),
            ],
        },
        QueueCase {
            guards: "a request runs although its deadline can't be met",
            limits: limits(1),
            steps: vec![
                Add("a", 1, 100),
                Add("a", 2, 900),
                Take(500, Work, late(1)),
                Take(500, Work, granted(2)),
            ],
        },
        QueueCase {
            guards: "an account exceeds its concurrency",
            limits: slots(1),
            steps: vec![
                Add("a", 1, FAR),
                Add("a", 2, FAR),
                Add("b", 3, FAR),
                Take(0, Work, granted(1)),
                Take(0, Work, granted(3)),
                Take(0, Work, None),
                Finish(1),
                Finish(1),
                Take(0, Work, granted(2)),
                Take(0, Work, None),
            ],
        },
        QueueCase {
            guards: "an account exceeds its rate, or never gets its next token",
            limits: slow,
            steps: vec![
                Add("a", 1, FAR),
                Add("a", 2, FAR),
                Take(0, Work, granted(1)),
                Take(99, Work, None),
                Take(101, Work, granted(2)),
            ],
        },
        QueueCase {
            guards: "work of an account keeps its lookups waiting",
            limits: slots(2),
            steps: vec![
                Add("a", 1, FAR),
                Add("a", 2, FAR),
                Take(0, Work, granted(1)),
                Take(0, Work, None),
                AddLookup("a", 3),
                Take(0, Lookup, granted(3)),
                Finish(1),
                Finish(3),
                Take(0, Work, granted(2)),
            ],
        },
        QueueCase {
            guards: "a cancelled request runs, or a running one is cancelled in the queue",
            limits: limits(1),
            steps: vec![
                Add("a", 1, FAR),
                Add("a", 2, FAR),
                Cancel(1, true),
                Cancel(1, false),
                Take(0, Work, granted(2)),
                Cancel(2, false),
                Take(0, Work, None),
            ],
        },
    ]
}

#[test]
fn queue_follows_its_rules() {
    for case in cases() {
        let mut queue = FairQueue::new(BOUNDS);
        for (i, step) in case.steps.into_iter().enumerate() {
            let context = format!("{} (step {i})", case.guards);
            match step {
                Step::Add(account, ticket, deadline) => queue
                    .enqueue(at(0), &id(account), case.limits, request(ticket, deadline))
                    .expect(&context),
                Step::AddLookup(account, ticket) => {
                    let request =
                        QueuedRequest { class: WorkClass::Lookup, ..request(ticket, FAR) };
                    queue.enqueue(at(0), &id(account), case.limits, request).expect(&context);
                }
                Step::Take(now, class, expected) => {
                    assert_eq!(dequeue(&mut queue, now, class), expected, "{context}");
                }
                Step::Finish(ticket) => queue.finish(at(0), TicketId::new(ticket)),
                Step::Cancel(ticket, expected) => {
                    assert_eq!(queue.cancel(at(0), TicketId::new(ticket)), expected, "{context}");
                }
            }
        }
    }
}

struct BoundCase {
    guards: &'static str,
    account: &'static str,
    ticket: u64,
    error: Option<QueueError>,
}

#[test]
fn bounds_hold() {
    let bounds = QueueBounds { total: Slots::new(3), account: Slots::new(2) };
    let full = QueueError::AccountFull { account: id("a"), waiting: 2, limit: Slots::new(2) };
    let cases = [
        BoundCase { guards: "a queue refuses the first", account: "a", ticket: 1, error: None },
        BoundCase {
            guards: "a ticket names two requests",
            account: "a",
            ticket: 1,
            error: Some(QueueError::Ticket(TicketId::new(1))),
        },
        BoundCase { guards: "an account gets too little", account: "a", ticket: 2, error: None },
        BoundCase {
            guards: "an account fills the queue for others",
            account: "a",
            ticket: 3,
            error: Some(full),
        },
        BoundCase { guards: "another account is refused", account: "b", ticket: 4, error: None },
        BoundCase {
            guards: "the queue grows without bound",
            account: "c",
            ticket: 5,
            error: Some(QueueError::Full { waiting: 3, limit: Slots::new(3) }),
        },
    ];
    let mut queue = FairQueue::new(bounds);
    for case in cases {
        let result = queue.enqueue(at(0), &id(case.account), limits(1), request(case.ticket, FAR));
        assert_eq!(result.err(), case.error, "{}", case.guards);
    }
}

#[test]
fn memory_follows_active_accounts() {
    // Guards against memory for every account that was ever seen (37,000 are known).
    let mut queue = FairQueue::new(BOUNDS);
    for i in 0..37_000u64 {
        let now = i * 10;
        queue.enqueue(at(now), &id(&format!("a{i}")), limits(1), request(i, FAR)).unwrap();
        assert_eq!(dequeue(&mut queue, now, WorkClass::Work), granted(i));
        queue.finish(at(now), TicketId::new(i));
    }
    // One account arrives each 10 ms and is kept for 10 s.
    assert!(queue.active_accounts() <= 1_002, "{}", queue.active_accounts());
}

proptest! {
    /// Guards against unfair shares: under backlog, two accounts may differ by one request each from
    /// their weighted share (theorem 1 of the paper on start-time fair queueing).
    #[test]
    fn backlogged_accounts_share_by_weight(
        weights in proptest::collection::vec(1u32..20, 2..6),
        costs in proptest::collection::vec(1_000u64..50_000, 2..6),
        takes in 1usize..300,
    ) {
        let mut queue = FairQueue::new(BOUNDS);
        let mut owner = HashMap::new();
        let count = weights.len().min(costs.len());
        for a in 0..count {
            for i in 0..300 {
                let ticket = (a * 1_000 + i) as u64;
                owner.insert(TicketId::new(ticket), a);
                let request = QueuedRequest { cost: Cost::new(costs[a]), ..request(ticket, FAR) };
                queue.enqueue(at(0), &id(&format!("a{a}")), limits(weights[a]), request).unwrap();
            }
        }
        let mut served = vec![0u64; count];
        for _ in 0..takes {
            let Some(Dequeued::Granted(ticket)) = dequeue(&mut queue, 0, WorkClass::Work) else {
                return Err(TestCaseError::fail("a backlogged queue grants nothing"));
            };
            served[owner[&ticket]] += costs[owner[&ticket]];
        }
        let share = |a: usize, cost: u64| cost as f64 / f64::from(weights[a]);
        for (a, b) in (0..count).flat_map(|a| (0..a).map(move |b| (a, b))) {
            let difference = (share(a, served[a]) - share(b, served[b])).abs();
            prop_assert!(difference <= share(a, costs[a]) + share(b, costs[b]) + 1.0);
        }
    }

    /// Guards against requests that are lost, granted twice or granted after their cancellation, and
    /// against an account above its concurrency.
    #[test]
    fn every_request_leaves_once(
        steps in proptest::collection::vec((0u8..5, 0u64..4, 0u64..40, 0u64..30), 1..300),
    ) {
        let limits = AccountLimits {
            weight: Weight::new(1),
            concurrency: Slots::new(3),
            rate: 50.0.try_into().unwrap(),
            burst: Slots::new(2),
        };
        let mut queue = FairQueue::new(BOUNDS);
        let (mut now, mut next) = (0, 0);
        let mut waiting: HashMap<u64, u64> = HashMap::new();
        let mut running: HashMap<u64, u64> = HashMap::new();
        for (kind, account, ticket, pause) in steps {
            now += pause;
            match kind {
                0 | 1 => {
                    let request = request(next, now + 20 + ticket * 10);
                    queue.enqueue(at(now), &id(&format!("a{account}")), limits, request).unwrap();
                    waiting.insert(next, account);
                    next += 1;
                }
                2 => match dequeue(&mut queue, now, WorkClass::Work) {
                    Some(Dequeued::Granted(t)) => {
                        let account = waiting.remove(&t.get());
                        prop_assert!(account.is_some());
                        running.insert(t.get(), account.unwrap());
                    }
                    Some(Dequeued::Late(t)) => prop_assert!(waiting.remove(&t.get()).is_some()),
                    None => {}
                },
                3 => {
                    queue.finish(at(now), TicketId::new(ticket));
                    running.remove(&ticket);
                }
                _ => {
                    let cancelled = queue.cancel(at(now), TicketId::new(ticket));
                    prop_assert_eq!(cancelled, waiting.remove(&ticket).is_some());
                }
            }
            prop_assert_eq!(queue.waiting(), waiting.len());
            for a in 0..4 {
                prop_assert!(running.values().filter(|&&r| r == a).count() <= 3);
            }
        }
        // Everything that waits is served when slots and tokens become free: no starvation.
        for _ in 0..2 * next {
            now += 50;
            running.drain().for_each(|(t, _)| queue.finish(at(now), TicketId::new(t)));
            match dequeue(&mut queue, now, WorkClass::Work) {
                Some(Dequeued::Granted(t)) => {
                    prop_assert!(waiting.remove(&t.get()).is_some());
                    running.insert(t.get(), 0);
                }
                Some(Dequeued::Late(t)) => prop_assert!(waiting.remove(&t.get()).is_some()),
                None => {}
            }
        }
        prop_assert!(waiting.is_empty());
        prop_assert_eq!(queue.waiting(), 0);
    }
}
