use super::*;
use proptest::prelude::*;
use std::collections::HashMap;

proptest! {
    /// Guards against unfair shares: the normalised service of two backlogged accounts may differ by
    /// at most one request of each (theorem 1 of the paper on start-time fair queueing).
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

    /// Guards against requests that are lost, granted twice or granted after cancellation, and against
    /// an account exceeding its concurrency limit.
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
        // No starvation: all queued requests are served once slots and tokens become available.
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
