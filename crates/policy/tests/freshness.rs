//! How old the state may be that a host acts by.

#![allow(clippy::unwrap_used)]

use masticstair_core::prelude::*;
use masticstair_policy::freshness::{
    ControlHostNews, SourceCandidate, choose_source, known_until, may_deny,
};
use std::time::Duration;

fn at(ms: u64) -> Timestamp {
    Timestamp::new(ms * 1_000)
}

fn version(number: u64) -> CatalogVersion {
    CatalogVersion::new(number)
}

/// Guards against a host that takes its catalog for current on the word of a minority (CONFIG).
#[test]
fn a_majority_of_the_control_hosts_confirms_the_catalog() {
    struct Case {
        confirmed_ms: &'static [u64],
        disk_losses: usize,
        known_until_ms: u64,
    }
    let cases = [
        Case { confirmed_ms: &[], disk_losses: 1, known_until_ms: 0 },
        Case { confirmed_ms: &[7], disk_losses: 1, known_until_ms: 7 },
        Case { confirmed_ms: &[9, 0], disk_losses: 1, known_until_ms: 0 },
        Case { confirmed_ms: &[9, 0, 5], disk_losses: 1, known_until_ms: 5 },
        Case { confirmed_ms: &[9, 8, 0, 0], disk_losses: 1, known_until_ms: 0 },
        Case { confirmed_ms: &[1, 9, 8, 0], disk_losses: 1, known_until_ms: 1 },
        // Five of these may vote, so three may have acknowledged what the other five lack.
        Case { confirmed_ms: &[9, 9, 9, 9, 9, 0, 0, 0], disk_losses: 2, known_until_ms: 0 },
        Case { confirmed_ms: &[9, 9, 9, 9, 9, 4, 0, 0], disk_losses: 2, known_until_ms: 4 },
        Case { confirmed_ms: &[9, 9, 5, 0, 0], disk_losses: 2, known_until_ms: 5 },
        Case { confirmed_ms: &[9, 5, 0, 0, 0], disk_losses: 4, known_until_ms: 0 },
    ];
    for case in cases {
        let mut confirmed: Vec<_> = case.confirmed_ms.iter().map(|ms| at(*ms)).collect();
        let found = known_until(&mut confirmed, case.disk_losses);
        assert_eq!(found, at(case.known_until_ms), "{:?}", case.confirmed_ms);
    }
    assert!(may_deny(Duration::from_millis(1_000)));
    assert!(!may_deny(Duration::from_millis(2_000)));
}

/// Guards against a reply that names a newer catalog and counts as a confirmation of the old one (CONFIG).
#[test]
fn a_reply_confirms_once_its_catalog_is_in_force() {
    struct Reply {
        asked_ms: u64,
        held: u64,
        in_force: u64,
        confirmed_ms: u64,
    }
    let replies = [
        Reply { asked_ms: 10, held: 5, in_force: 5, confirmed_ms: 10 },
        Reply { asked_ms: 20, held: 7, in_force: 5, confirmed_ms: 10 },
        Reply { asked_ms: 30, held: 8, in_force: 6, confirmed_ms: 10 },
        Reply { asked_ms: 40, held: 9, in_force: 7, confirmed_ms: 20 },
        Reply { asked_ms: 50, held: 9, in_force: 9, confirmed_ms: 50 },
    ];
    let mut news = ControlHostNews::default();
    for reply in replies {
        news.record(at(reply.asked_ms), version(reply.held), version(reply.in_force));
        let confirmed = news.confirmed_at(version(reply.in_force));
        assert_eq!(confirmed, at(reply.confirmed_ms), "asked at {} ms", reply.asked_ms);
    }
}

/// Guards against a source that does not answer while others do, and against one source for all hosts.
#[test]
fn a_control_host_that_answers_is_the_source() {
    let hosts: Vec<HostId> = (0..4).map(|n| format!("c{n}").parse().unwrap()).collect();
    struct Case {
        name: &'static str,
        answering: &'static [usize],
        near: &'static [usize],
        sources: &'static [usize],
    }
    let cases = [
        Case { name: "all", answering: &[0, 1, 2, 3], near: &[], sources: &[0, 1, 2, 3] },
        Case { name: "near", answering: &[0, 1, 2, 3], near: &[2, 3], sources: &[2, 3] },
        Case { name: "near ones silent", answering: &[0, 1], near: &[2, 3], sources: &[0, 1] },
        Case { name: "none", answering: &[], near: &[1], sources: &[1] },
    ];
    for case in cases {
        let candidates: Vec<_> = hosts
            .iter()
            .enumerate()
            .map(|(n, host)| SourceCandidate {
                host,
                is_near: case.near.contains(&n),
                answers: case.answering.contains(&n),
            })
            .collect();
        let chosen: std::collections::BTreeSet<_> = (0..50)
            .filter_map(|n| choose_source(&format!("e{n}").parse().unwrap(), &candidates))
            .collect();
        let expected = case.sources.iter().map(|n| &hosts[*n]).collect();
        assert_eq!(chosen, expected, "{}", case.name);
    }
}
