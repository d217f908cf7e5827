use super::*;

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
        BoundCase {
            guards: "an empty queue rejects a request",
            account: "a",
            ticket: 1,
            error: None,
        },
        BoundCase {
            guards: "a ticket is used for two requests",
            account: "a",
            ticket: 1,
            error: Some(QueueError::TicketInUse(TicketId::new(1))),
        },
        BoundCase {
            guards: "an account is rejected below its limit",
            account: "a",
            ticket: 2,
            error: None,
        },
        BoundCase {
            guards: "an account fills the queue for others",
            account: "a",
            ticket: 3,
            error: Some(full),
        },
        BoundCase {
            guards: "an account is rejected because another one is full",
            account: "b",
            ticket: 4,
            error: None,
        },
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

struct ViewCase {
    guards: &'static str,
    /// Account, number of queued requests of 1 ms, and weight.
    waiting: &'static [(&'static str, u64, u32)],
    ahead_us: u64,
}

#[test]
fn view_counts_what_is_served_before() {
    // The view is for a request of 1 ms of account `a` with weight 1.
    let cases = [
        ViewCase { guards: "an empty queue delays a request", waiting: &[], ahead_us: 0 },
        ViewCase {
            guards: "queued requests of the same account are not counted",
            waiting: &[("a", 5, 1)],
            ahead_us: 5_000,
        },
        ViewCase {
            guards: "an account with little work waits for the whole backlog of another",
            waiting: &[("b", 100, 1)],
            ahead_us: 1_000,
        },
        ViewCase {
            guards: "the share of another account is not counted",
            waiting: &[("a", 5, 1), ("b", 100, 2)],
            ahead_us: 5_000 + 12_000,
        },
        ViewCase {
            guards: "another account counts with more than its backlog",
            waiting: &[("a", 5, 1), ("b", 2, 1)],
            ahead_us: 5_000 + 2_000,
        },
    ];
    for case in cases {
        let mut queue = FairQueue::new(BOUNDS);
        let mut ticket = 0;
        for &(account, count, weight) in case.waiting {
            for _ in 0..count {
                ticket += 1;
                let request = request(ticket, FAR);
                queue.enqueue(at(0), &id(account), limits(weight), request).unwrap();
            }
        }
        let view = queue.view(at(0), &id("a"), &limits(1), WorkClass::Work, Cost::new(1_000));
        assert_eq!(view.cost_ahead.get(), case.ahead_us, "{}", case.guards);
    }
}

#[test]
fn memory_follows_active_accounts() {
    // Guards against memory that grows with the number of known accounts (37,000 here).
    let mut queue = FairQueue::new(BOUNDS);
    for i in 0..37_000u64 {
        let now = i * 10;
        queue.enqueue(at(now), &id(&format!("a{i}")), limits(1), request(i, FAR)).unwrap();
        assert_eq!(dequeue(&mut queue, now, WorkClass::Work), granted(i));
        queue.finish(at(now), TicketId::new(i));
    }
    // One new account every 10 ms, each kept for 10 s.
    assert!(queue.active_accounts() <= 1_002, "{}", queue.active_accounts());
}
