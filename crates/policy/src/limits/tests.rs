use super::*;
use masticstair_core::prelude::*;
use proptest::prelude::*;
use std::time::Duration;

fn at(ms: u64) -> Timestamp {
    Timestamp::new(ms * 1_000)
}

fn amount(n: u64) -> Amount {
    Amount::new(n)
}

fn loan(host: usize, incarnation: u64, number: u64) -> LoanId {
    LoanId {
        borrower: format!("h{host}").parse().unwrap(),
        incarnation: Incarnation::new(incarnation),
        number: LoanNumber::new(number),
    }
}

fn usable(ledger: &Ledger, now_ms: u64) -> u64 {
    ledger.usable(at(now_ms), Duration::ZERO).get()
}

struct PartCase {
    guards: &'static str,
    limit: u32,
    hosts: u32,
    /// Whether hosts know their position.
    positions: bool,
    sum: u64,
}

#[test]
fn parts_add_up_to_the_limit() {
    let cases = [
        PartCase { guards: "the remainder is lost", limit: 13, hosts: 8, positions: true, sum: 13 },
        PartCase {
            guards: "a limit below the number of hosts serves nobody",
            limit: 3,
            hosts: 8,
            positions: true,
            sum: 3,
        },
        PartCase {
            guards: "hosts without position own more than the limit",
            limit: 13,
            hosts: 8,
            positions: false,
            sum: 8,
        },
    ];
    for case in cases {
        let part = |i| own_slots(Slots::new(case.limit), case.hosts, case.positions.then_some(i));
        let sum: u64 = (0..case.hosts).map(|i| part(i).get()).sum();
        assert_eq!(sum, case.sum, "{}", case.guards);
    }
}

#[derive(Clone, Copy)]
enum Step {
    /// The borrower asks for this amount at this time.
    Ask(u64, u64),
    /// The last request reaches the lender, which uses an amount: the grant or a refusal.
    Lend(u64, u64, Option<u64>),
    /// The last grant reaches the borrower.
    Receive(u64, bool),
    /// The borrower gives back what it does not use; the number of loans.
    GiveBack(u64, u64, usize),
    /// The last return reaches the lender.
    TakeBack,
    /// The lender restarts.
    Restart(u64),
    /// What the lender and the borrower may use at a time.
    Usable(u64, u64, u64),
}

struct LoanCase {
    guards: &'static str,
    steps: &'static [Step],
}

#[test]
fn loans_follow_the_protocol() {
    use Step::{Ask, GiveBack, Lend, Receive, Restart, TakeBack, Usable};
    // Both hosts own 10, and loans are for 10 s.
    let cases = [
        LoanCase {
            guards: "a loan is used by both hosts, or by none after its end",
            steps: &[
                Ask(0, 3),
                Lend(100, 2, Some(3)),
                Usable(150, 7, 10),
                Receive(200, true),
                Usable(9_999, 7, 13),
                Usable(10_000, 7, 10),
                Usable(10_200, 10, 10),
            ],
        },
        LoanCase {
            guards: "a host lends what it uses, or more than half of its part",
            steps: &[Ask(0, 9), Lend(0, 8, Some(2)), Ask(1, 9), Lend(1, 0, Some(3))],
        },
        LoanCase {
            guards: "a request that comes twice makes two loans",
            steps: &[
                Ask(0, 3),
                Lend(0, 0, Some(3)),
                Lend(5_000, 0, Some(3)),
                Usable(10_099, 7, 10),
                Usable(10_100, 10, 10),
            ],
        },
        LoanCase {
            guards: "a grant that comes late or twice is used",
            steps: &[
                Ask(0, 3),
                Lend(9_000, 0, Some(3)),
                Receive(10_000, false),
                Usable(10_000, 7, 10),
                Ask(20_000, 3),
                Lend(20_000, 0, Some(3)),
                Receive(20_000, true),
                Receive(20_001, false),
                Usable(20_001, 7, 13),
            ],
        },
        LoanCase {
            guards: "a returned loan stays lent, or a doubled grant revives it",
            steps: &[
                Ask(0, 3),
                Lend(0, 0, Some(3)),
                Receive(0, true),
                GiveBack(100, 11, 0),
                GiveBack(100, 10, 1),
                Usable(100, 7, 10),
                TakeBack,
                Receive(101, false),
                Usable(101, 10, 10),
            ],
        },
        LoanCase {
            guards: "a lender that restarts uses what it has lent, or stays without its part",
            steps: &[
                Ask(0, 5),
                Lend(0, 0, Some(5)),
                Receive(0, true),
                Restart(1_000),
                Usable(1_000, 5, 15),
                Ask(2_000, 1),
                Lend(2_000, 0, None),
                Usable(31_299, 5, 10),
                Usable(31_300, 10, 10),
            ],
        },
    ];
    for case in cases {
        check_loans(&case);
    }
}

fn check_loans(case: &LoanCase) {
    let mut lender = Ledger::new(at(0), amount(10), false);
    let mut borrower = Ledger::new(at(0), amount(10), false);
    let (mut number, mut request, mut grant, mut returned) = (0, None, None, Vec::new());
    for (i, step) in case.steps.iter().enumerate() {
        let context = format!("{} (step {i})", case.guards);
        match *step {
            Step::Ask(now, n) => {
                number += 1;
                let id = loan(1, 1, number);
                request = Some(borrower.ask(at(now), id, amount(n), Millis::new(10_000)));
            }
            Step::Lend(now, in_use, expected) => {
                let result = lender.lend(at(now), request.as_ref().unwrap(), amount(in_use));
                assert_eq!(result.as_ref().ok().map(|g| g.amount.get()), expected, "{context}");
                grant = result.ok().or(grant);
            }
            Step::Receive(now, expected) => {
                assert_eq!(
                    borrower.receive(at(now), grant.as_ref().unwrap()),
                    expected,
                    "{context}"
                );
            }
            Step::GiveBack(now, in_use, expected) => {
                returned = borrower.give_back(at(now), amount(in_use), Duration::ZERO);
                assert_eq!(returned.len(), expected, "{context}");
            }
            Step::TakeBack => returned.iter().for_each(|r| lender.take_back(r)),
            Step::Restart(now) => lender = Ledger::new(at(now), amount(10), true),
            Step::Usable(now, l, b) => {
                assert_eq!((usable(&lender, now), usable(&borrower, now)), (l, b), "{context}");
            }
        }
    }
}

#[test]
fn work_ends_before_the_loan() {
    // Guards against a request that runs in a borrowed slot after the lender has it back.
    let (mut lender, mut borrower) =
        (Ledger::new(at(0), amount(10), false), Ledger::new(at(0), amount(10), false));
    let request = borrower.ask(at(0), loan(1, 1, 1), amount(4), Millis::new(20_000));
    let grant = lender.lend(at(0), &request, amount(0)).unwrap();
    borrower.receive(at(0), &grant);
    let horizon = Duration::from_secs(11);
    assert_eq!(borrower.usable(at(9_000), horizon), amount(14));
    assert_eq!(borrower.usable(at(9_001), horizon), amount(10));
}

enum Message {
    Request(LoanRequest),
    Grant(LoanGrant),
    Return(LoanReturn),
}

/// What happens in one step of the property test.
#[derive(Clone, Debug)]
struct Event {
    kind: u8,
    host: usize,
    peer: usize,
    amount: u64,
    term_ms: u64,
    pause_ms: u64,
    pick: usize,
}

fn event() -> impl Strategy<Value = Event> {
    (0u8..10, 0usize..4, 0usize..4, 1u64..12, 1u64..30_000, 0u64..4_000, 0usize..1_000).prop_map(
        |(kind, host, peer, amount, term_ms, pause_ms, pick)| Event {
            kind,
            host,
            peer,
            amount,
            term_ms,
            pause_ms,
            pick,
        },
    )
}

proptest! {
    /// Guards against hosts that together may use more than the limit, when messages are lost,
    /// delayed, doubled or reordered and hosts restart.
    #[test]
    fn sum_over_hosts_never_exceeds_the_limit(
        events in proptest::collection::vec(event(), 1..300),
    ) {
        const HOSTS: usize = 4;
        let own = amount(10);
        let mut hosts = vec![Ledger::new(at(0), own, false); HOSTS];
        let mut incarnations = [1u64; HOSTS];
        let mut network: Vec<(usize, usize, Message)> = Vec::new();
        let (mut now, mut number) = (0, 0);
        for e in events {
            now += e.pause_ms;
            match e.kind {
                0..=2 => {
                    number += 1;
                    let id = loan(e.host, incarnations[e.host], number);
                    let term = Millis::new(e.term_ms);
                    let request = hosts[e.host].ask(at(now), id, amount(e.amount), term);
                    network.push((e.host, e.peer, Message::Request(request)));
                }
                3 => {
                    let in_use = amount(e.amount);
                    for returned in hosts[e.host].give_back(at(now), in_use, Duration::ZERO) {
                        network.push((e.host, e.peer, Message::Return(returned)));
                    }
                }
                4 if e.pick % 4 == 0 => {
                    hosts[e.host] = Ledger::new(at(now), own, true);
                    incarnations[e.host] += 1;
                }
                // A message arrives; it stays in the network and may arrive again or never.
                _ if !network.is_empty() => {
                    let (from, to, message) = &network[e.pick % network.len()];
                    let (from, to) = (*from, *to);
                    if from == to {
                        continue;
                    }
                    match message {
                        Message::Request(request) => {
                            if let Ok(grant) = hosts[to].lend(at(now), request, amount(0)) {
                                network.push((to, from, Message::Grant(grant)));
                            }
                        }
                        Message::Grant(grant) => {
                            hosts[to].receive(at(now), grant);
                        }
                        Message::Return(returned) => hosts[to].take_back(returned),
                    }
                }
                _ => {}
            }
            let sum: u64 = hosts.iter().map(|h| usable(h, now)).sum();
            prop_assert!(sum <= own.get() * HOSTS as u64, "{sum} at {now} ms");
        }
    }
}
