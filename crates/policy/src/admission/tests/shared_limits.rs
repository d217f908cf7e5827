use super::*;
use crate::routing::SplitMix64;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};

/// Hosts that share endpoints and send as many calls as their limits allow.
struct SharedCase {
    guards: &'static str,
    /// Initial limit of each host.
    start: &'static [u32],
    /// Total concurrency of the endpoints.
    capacity: usize,
    latency_ms: u64,
}

#[test]
fn limits_of_hosts_settle_near_the_capacity() {
    let cases = [
        SharedCase {
            guards: "a burst waits inside the endpoints",
            start: &[500],
            capacity: 40,
            latency_ms: 100,
        },
        SharedCase {
            guards: "endpoints stay idle under load",
            start: &[4],
            capacity: 40,
            latency_ms: 100,
        },
        SharedCase {
            guards: "limits oscillate when calls take longer than the adjustment interval",
            start: &[100, 4],
            capacity: 80,
            latency_ms: 1_000,
        },
        SharedCase {
            guards: "a host with a low limit keeps it while others have a high one",
            start: &[4, 30, 60, 4, 4, 100, 4, 4],
            capacity: 120,
            latency_ms: 300,
        },
    ];
    for case in cases {
        check_shared(&case);
    }
}

/// Simulates shared endpoints with a common queue for 100 call latencies, since a limit takes about
/// one call latency to react. Checks the second half: total in flight between 0.9 and 2 times the
/// capacity, and each host between half and twice its equal share.
fn check_shared(case: &SharedCase) {
    let max = Slots::new(1_000);
    let new = |&n: &u32| HostLimit::new(at(0), Slots::new(n), max, Slots::new(0));
    let mut hosts: Vec<HostLimit> = case.start.iter().map(new).collect();
    let mut slots = BinaryHeap::from(vec![Reverse(0); case.capacity]);
    let mut ends: BTreeSet<(u64, u64, usize, (u64, u64))> = BTreeSet::new();
    let mut draws = SplitMix64::new(Draw::new(1));
    let (mut sums, mut number) = (vec![0u64; hosts.len()], 0);
    let half_ms = 50 * case.latency_ms;
    for now in 0..2 * half_ms {
        while let Some(&(end, _, host, (sent, service))) = ends.first().filter(|e| e.0 <= now) {
            ends.pop_first();
            hosts[host].release(WorkClass::Work);
            hosts[host].record_latency(at(now), ms(end - sent), ms(service));
        }
        for (i, host) in hosts.iter_mut().enumerate() {
            while host.try_acquire(WorkClass::Work) {
                let Reverse(free) = slots.pop().unwrap();
                // Calls of equal length would all finish together and queue in lockstep.
                let part = 0.7 + 0.6 * draws.next().fraction();
                let service = (case.latency_ms as f64 * part) as u64;
                slots.push(Reverse(now.max(free) + service));
                number += 1;
                ends.insert((now.max(free) + service, number, i, (now, service)));
            }
            let in_flight = u64::from(host.in_flight(WorkClass::Work).get());
            sums[i] += if now >= half_ms { in_flight } else { 0 };
        }
    }
    let means: Vec<f64> = sums.iter().map(|&s| s as f64 / half_ms as f64).collect();
    let (total, capacity) = (means.iter().sum::<f64>(), case.capacity as f64);
    assert!((0.9 * capacity..=2.0 * capacity).contains(&total), "{}: {means:?}", case.guards);
    let part = total / means.len() as f64;
    let even = means.iter().all(|m| (0.5 * part..=2.0 * part).contains(m));
    assert!(even, "{}: {means:?}", case.guards);
}
