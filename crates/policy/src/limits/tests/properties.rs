use super::*;
use proptest::prelude::*;

enum Message {
    Request(LoanRequest),
    Grant(LoanGrant),
    Return(LoanReturn),
}

/// One step of the property test.
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
    /// Guards against hosts that together use more than the limit when messages are lost, delayed,
    /// duplicated or reordered, or when hosts restart.
    #[test]
    fn sum_over_hosts_never_exceeds_the_limit(
        events in proptest::collection::vec(event(), 1..300),
    ) {
        const HOSTS: usize = 4;
        let local = amount(10);
        let mut hosts = vec![HostQuota::new(at(0), local, false); HOSTS];
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
                    let request = hosts[e.host].request_loan(at(now), id, amount(e.amount), term);
                    network.push((e.host, e.peer, Message::Request(request)));
                }
                3 => {
                    let in_use = amount(e.amount);
                    for returned in hosts[e.host].return_unused(at(now), in_use, Duration::ZERO) {
                        network.push((e.host, e.peer, Message::Return(returned)));
                    }
                }
                4 if e.pick % 4 == 0 => {
                    hosts[e.host] = HostQuota::new(at(now), local, true);
                    incarnations[e.host] += 1;
                }
                // Delivers a message. It stays in the network, so it may be delivered again or never.
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
                            hosts[to].accept_grant(at(now), grant);
                        }
                        Message::Return(returned) => hosts[to].accept_return(returned),
                    }
                }
                _ => {}
            }
            let sum: u64 = hosts.iter().map(|h| usable(h, now)).sum();
            prop_assert!(sum <= local.get() * HOSTS as u64, "{sum} at {now} ms");
        }
    }
}
