//! Limits that endpoints name, and the permits that keep to them.

#![allow(clippy::unwrap_used)]

use masticstair_core::prelude::*;
use masticstair_policy::endpoint_limits::{EndpointLimits, LimitNotice, Permit};
use std::time::Duration;

const START: Timestamp = Timestamp::new(1_000_000_000);

const FIRST: Incarnation = Incarnation::new(1);
const SECOND: Incarnation = Incarnation::new(2);

fn at(ms: u64) -> Timestamp {
    START.plus(Duration::from_millis(ms))
}

fn endpoint() -> EndpointId {
    "e1".parse().unwrap()
}

fn rate(per_s: f64) -> RatePerSecond {
    per_s.try_into().unwrap()
}

/// Guards against an older limit that comes back, and against a limit that outlives its process.
#[test]
fn the_newest_statement_of_the_newest_process_counts() {
    struct Case {
        name: &'static str,
        /// Process, limit, and when the request was sent whose answer said so, in the order of arrival.
        statements: &'static [(Incarnation, Option<f64>, u64)],
        limit: Option<f64>,
    }
    let cases = [
        Case { name: "named", statements: &[(FIRST, Some(1.2), 0)], limit: Some(1.2) },
        Case { name: "never named", statements: &[(FIRST, None, 0)], limit: None },
        Case {
            name: "changed",
            statements: &[(FIRST, Some(1.2), 0), (FIRST, Some(0.5), 1_000)],
            limit: Some(0.5),
        },
        Case {
            name: "no longer named",
            statements: &[(FIRST, Some(1.2), 0), (FIRST, None, 1_000)],
            limit: None,
        },
        Case {
            name: "an answer to an earlier request arrives last",
            statements: &[(FIRST, Some(1.2), 0), (FIRST, None, 1_000), (FIRST, Some(1.2), 500)],
            limit: None,
        },
        Case {
            name: "a new process",
            statements: &[(FIRST, Some(1.2), 0), (SECOND, None, 1_000), (FIRST, Some(1.2), 2_000)],
            limit: None,
        },
    ];
    for case in cases {
        let mut own = EndpointLimits::default();
        let mut other = EndpointLimits::default();
        for (incarnation, limit, ms) in case.statements {
            own.record(&endpoint(), *incarnation, limit.map(rate), at(*ms));
        }
        // Another host gets the statements in the reverse order.
        for (incarnation, limit, ms) in case.statements.iter().rev() {
            let age = Millis::new(10_000 - ms);
            let (incarnation, limit) = (*incarnation, limit.map(rate));
            let notice = LimitNotice { endpoint: endpoint(), incarnation, limit, age };
            other.merge(at(10_000), vec![notice]);
        }
        let newest = case.statements.iter().map(|(incarnation, ..)| *incarnation).max().unwrap();
        for table in [&own, &other] {
            let found = table.limit(at(10_000), &endpoint(), newest).and_then(|n| n.limit);
            assert_eq!(found, case.limit.map(rate), "{}", case.name);
        }
    }
}

/// Guards against more permits than the limit in any 4 s, also after a pause, and against permits that are lost.
#[test]
fn permits_keep_to_the_limit() {
    struct Case {
        limit: f64,
        /// Milliseconds between two requests for a permit.
        interval: u64,
        /// Milliseconds without requests in the middle.
        pause: u64,
    }
    let cases = [
        Case { limit: 0.3, interval: 50, pause: 0 },
        Case { limit: 1.2, interval: 10, pause: 0 },
        Case { limit: 1.2, interval: 10, pause: 20_000 },
        Case { limit: 40.0, interval: 2, pause: 5_000 },
        Case { limit: 0.0, interval: 100, pause: 1_000 },
    ];
    for case in cases {
        let mut table = EndpointLimits::default();
        table.record(&endpoint(), FIRST, Some(rate(case.limit)), at(0));
        let mut granted = Vec::new();
        for n in 0..20_000 / case.interval {
            let pause = if n * case.interval < 10_000 { 0 } else { case.pause };
            let ms = n * case.interval + pause;
            match table.take_permit(at(ms), &endpoint(), FIRST) {
                Permit::Granted => granted.push(ms),
                Permit::Denied(wait) => assert!(wait.get() > 0),
            }
        }
        let most = (1.5 * 4.0 * case.limit + 5.0) as usize;
        for (n, from) in granted.iter().enumerate() {
            let in_window = granted[n..].iter().take_while(|ms| **ms < from + 4_000).count();
            assert!(in_window <= most, "limit {}: {in_window} of {most}", case.limit);
        }
        let expected = (0.9 * 20.0 * case.limit) as usize;
        assert!(granted.len() >= expected, "limit {}: {} permits", case.limit, granted.len());
    }
}

/// Guards against two hosts that tell each other different statements of about the same time for ever.
#[test]
fn statements_of_the_same_time_settle() {
    const ON_THE_WAY_MS: u64 = 20;
    let (mut one, mut two) = (EndpointLimits::default(), EndpointLimits::default());
    one.record(&endpoint(), FIRST, Some(rate(1.2)), at(0));
    two.record(&endpoint(), FIRST, Some(rate(0.7)), at(1));
    let mut changes = 0;
    for round in 0..20 {
        let (sent, received) = (at(100 * round + 10), at(100 * round + 10 + ON_THE_WAY_MS));
        let from_one = one.changes_after(sent, 0, false);
        let from_two = two.changes_after(sent, 0, false);
        changes += usize::from(one.merge(received, from_two));
        changes += usize::from(two.merge(received, from_one));
    }
    assert!(changes <= 2, "{changes} changes");
}

/// Guards against limits that travel between hosts for ever, or do not reach a host that has just started.
#[test]
fn limits_reach_other_hosts_once() {
    let mut told = EndpointLimits::default();
    told.record(&endpoint(), FIRST, Some(rate(1.2)), at(0));
    let mut started = EndpointLimits::default();
    let now = Timestamp::new(1_000);
    assert!(started.merge(now, told.changes_after(at(9_000), 0, true)));
    assert!(started.limit(now, &endpoint(), FIRST).is_some());
    assert!(!started.merge(now, told.changes_after(at(9_000), 0, true)));
    assert!(started.changes_after(now, 0, true).is_empty(), "it was not told by the endpoint");
    assert_eq!(started.changes_after(now, 0, false).len(), 1);
    told.record(&endpoint(), FIRST, Some(rate(1.2)), at(10));
    assert!(told.changes_after(at(20), told.position(), false).is_empty());
    // It is forgotten when the endpoint does not repeat it.
    told.expire(at(700_000));
    assert!(told.limit(at(700_000), &endpoint(), FIRST).is_none());
}
