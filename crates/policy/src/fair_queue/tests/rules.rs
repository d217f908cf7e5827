use super::*;

#[derive(Clone, Copy)]
enum Step {
    /// Account, ticket and deadline in ms of a work request.
    Add(&'static str, u64, u64),
    /// Account and ticket of a lookup.
    AddLookup(&'static str, u64),
    /// Time in ms, class and expected result of a dequeue.
    Take(u64, WorkClass, Option<Dequeued>),
    /// Ticket.
    Finish(u64),
    /// Ticket and expected result.
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
            guards: "work of an account takes the slot reserved for its lookups",
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
