//! Verdicts on requests that crash endpoints.

#![allow(clippy::unwrap_used)]

use masticstair_core::prelude::*;
use masticstair_policy::poison::CrashKey;
use masticstair_policy::request_crashes::{
    CrashNotice, RequestCrash, RequestCrashes, RequestStanding,
};
use std::time::Duration;

const START: Timestamp = Timestamp::new(1_000_000_000);

/// The request that crashes endpoints.
const BAD: &str = "bad";
/// A request that is in progress beside it.
const SOUND: &str = "sound";

fn at(ms: u64) -> Timestamp {
    START.plus(Duration::from_millis(ms))
}

fn content(body: &str) -> RequestDigest {
    RequestDigest::of("POST", "/x", None, body.as_bytes())
}

/// What a host sees, in milliseconds.
#[derive(Clone, Copy)]
enum Seen {
    /// When the request was sent, when the endpoint ended, the endpoint and the request.
    Crash(u64, u64, u32, &'static str),
    /// When the request was sent that an endpoint answered.
    Answer(u64, &'static str),
}

fn record(table: &mut RequestCrashes, seen: Seen) {
    match seen {
        Seen::Crash(sent, ended, endpoint, body) => {
            let crash = CrashKey {
                endpoint: format!("e{endpoint}").parse().unwrap(),
                incarnation: Incarnation::new(1),
            };
            let request = content(body);
            let crash = RequestCrash { request, crash, sent_at: at(sent), ended_at: at(ended) };
            table.record_crash(at(ended), crash);
        }
        Seen::Answer(sent, body) => {
            table.record_answer(at(sent), content(body), at(sent));
        }
    }
}

fn standing(table: &RequestCrashes, ms: u64, body: &str) -> &'static str {
    match table.standing(at(ms), content(body)) {
        RequestStanding::Clear => "clear",
        RequestStanding::Suspected => "suspected",
        RequestStanding::Rejected { .. } => "rejected",
    }
}

/// Guards against a fourth crash by the same request, and against verdicts on requests beside it.
#[test]
fn only_requests_that_crash_endpoints_are_rejected() {
    struct Case {
        name: &'static str,
        seen: &'static [Seen],
        /// The request and its standing after 10 s.
        expected: &'static [(&'static str, &'static str)],
    }
    let cases = [
        Case {
            name: "one crash",
            seen: &[Seen::Crash(0, 10, 1, BAD)],
            expected: &[(BAD, "clear"), (SOUND, "clear")],
        },
        Case {
            name: "two crashes",
            seen: &[Seen::Crash(0, 10, 1, BAD), Seen::Crash(20, 30, 2, BAD)],
            expected: &[(BAD, "suspected"), (SOUND, "clear")],
        },
        Case {
            name: "three crashes",
            seen: &[
                Seen::Crash(0, 10, 1, BAD),
                Seen::Crash(20, 30, 2, BAD),
                Seen::Crash(40, 50, 3, BAD),
            ],
            expected: &[(BAD, "rejected"), (SOUND, "clear")],
        },
        Case {
            name: "the same process, seen three times",
            seen: &[
                Seen::Crash(0, 10, 1, BAD),
                Seen::Crash(20, 30, 1, BAD),
                Seen::Crash(40, 50, 1, BAD),
            ],
            expected: &[(BAD, "clear")],
        },
        Case {
            name: "three endpoints that ended together",
            seen: &[
                Seen::Crash(0, 50, 1, SOUND),
                Seen::Crash(10, 51, 2, SOUND),
                Seen::Crash(20, 52, 3, SOUND),
            ],
            expected: &[(SOUND, "clear")],
        },
        Case {
            name: "six endpoints that ended together",
            seen: &[
                Seen::Crash(0, 50, 1, SOUND),
                Seen::Crash(10, 51, 2, SOUND),
                Seen::Crash(20, 52, 3, SOUND),
                Seen::Crash(20, 52, 4, SOUND),
                Seen::Crash(20, 53, 5, SOUND),
                Seen::Crash(20, 54, 6, SOUND),
            ],
            expected: &[(SOUND, "clear")],
        },
        Case {
            name: "sent to three endpoints at once, twice",
            seen: &[
                Seen::Crash(0, 10, 1, BAD),
                Seen::Crash(1, 11, 2, BAD),
                Seen::Crash(2, 12, 3, BAD),
                Seen::Crash(3_000, 3_010, 4, BAD),
                Seen::Crash(3_001, 3_011, 5, BAD),
                Seen::Crash(3_002, 3_012, 6, BAD),
            ],
            expected: &[(BAD, "rejected"), (SOUND, "clear")],
        },
        Case {
            name: "answered after the last crash",
            seen: &[
                Seen::Crash(0, 10, 1, SOUND),
                Seen::Crash(20, 30, 2, SOUND),
                Seen::Crash(40, 50, 3, SOUND),
                Seen::Answer(60, SOUND),
            ],
            expected: &[(SOUND, "clear")],
        },
        Case {
            name: "an earlier attempt was answered after the crashes",
            seen: &[
                Seen::Crash(20, 30, 1, BAD),
                Seen::Crash(40, 50, 2, BAD),
                Seen::Crash(60, 70, 3, BAD),
                Seen::Answer(0, BAD),
            ],
            expected: &[(BAD, "rejected")],
        },
        Case {
            name: "beside a rejected request each time",
            seen: &[
                Seen::Crash(0, 10, 1, BAD),
                Seen::Crash(5, 10, 1, SOUND),
                Seen::Crash(20, 30, 2, BAD),
                Seen::Crash(25, 30, 2, SOUND),
                Seen::Crash(40, 50, 3, BAD),
                Seen::Crash(45, 50, 3, SOUND),
                Seen::Crash(60, 70, 4, BAD),
            ],
            expected: &[(BAD, "rejected"), (SOUND, "suspected")],
        },
    ];
    for case in cases {
        let mut table = RequestCrashes::default();
        case.seen.iter().for_each(|seen| record(&mut table, *seen));
        for (body, expected) in case.expected {
            assert_eq!(standing(&table, 10_000, body), *expected, "{}: {body}", case.name);
        }
    }
}

/// Guards against a verdict that never ends, and against one that needs three more crashes to come back.
#[test]
fn a_verdict_ends_and_one_crash_renews_it() {
    let mut table = RequestCrashes::default();
    for n in 0..3 {
        record(&mut table, Seen::Crash(20 * n, 20 * n + 10, n as u32, BAD));
    }
    let end = 600_050;
    assert_eq!(standing(&table, end - 1, BAD), "rejected");
    assert_eq!(standing(&table, end, BAD), "suspected");
    assert!(table.expire(at(end)), "the verdict has ended");
    record(&mut table, Seen::Crash(end + 100, end + 110, 9, BAD));
    assert_eq!(standing(&table, end + 111, BAD), "rejected");
    table.expire(at(end + 2 * 3_600_000));
    assert!(table.is_empty());
}

/// Returns what three hosts saw of the same request, one crash each, as they tell a control host.
fn notices() -> Vec<Vec<CrashNotice>> {
    let seen = [
        Seen::Crash(0, 10, 1, BAD),
        Seen::Crash(20, 30, 2, BAD),
        Seen::Crash(40, 50, 3, BAD),
        Seen::Crash(60, 70, 4, SOUND),
    ];
    let tell = |seen| {
        let mut host = RequestCrashes::default();
        record(&mut host, seen);
        host.changes_after(at(100), 0, true)
    };
    seen.into_iter().map(tell).collect()
}

/// Guards against hosts that reach different verdicts from the same notices.
#[test]
fn notices_merge_in_any_order() {
    let notices = notices();
    let orders = [[0, 1, 2, 3], [3, 2, 1, 0], [1, 3, 0, 2], [2, 0, 3, 1]];
    for order in orders {
        let mut table = RequestCrashes::default();
        order.iter().for_each(|n| assert!(table.merge(at(100), notices[*n].clone())));
        order.iter().for_each(|n| assert!(!table.merge(at(100), notices[*n].clone())));
        assert_eq!(standing(&table, 101, BAD), "rejected", "{order:?}");
        assert_eq!(standing(&table, 101, SOUND), "clear", "{order:?}");
    }
}

/// Guards against news that grows with the requests in progress at each ordinary crash, and against a third crash that
/// only its own host knows of.
#[test]
fn hosts_are_told_of_requests_with_two_crashes() {
    let notices = notices();
    let mut control = RequestCrashes::default();
    control.merge(at(100), notices[3].clone());
    control.merge(at(100), notices[0].clone());
    assert!(control.changes_after(at(100), 0, false).is_empty());
    assert_eq!(control.shared_position(), 0);

    let told = control.position();
    control.merge(at(100), notices[1].clone());
    assert_eq!(control.changes_after(at(100), told, false).len(), 2);

    let told = control.shared_position();
    control.merge(at(100), notices[2].clone());
    assert_eq!(control.changes_after(at(100), told, false).len(), 1);
}

/// Guards against a table that grows without limit, and against one that forgets a verdict for it.
#[test]
fn the_number_of_requests_is_bounded() {
    let mut table = RequestCrashes::default();
    for n in 0..3 {
        record(&mut table, Seen::Crash(20 * n, 20 * n + 10, n as u32, BAD));
    }
    for n in 0..3_000_u32 {
        let request = content(&n.to_string());
        let crash = CrashKey {
            endpoint: format!("f{n}").parse().unwrap(),
            incarnation: Incarnation::new(1),
        };
        let crash = RequestCrash { request, crash, sent_at: at(100), ended_at: at(200) };
        table.record_crash(at(200), crash);
    }
    assert_eq!(table.changes_after(at(201), 0, true).len(), 1_023 + 3);
    assert_eq!(standing(&table, 201, BAD), "rejected");
}
