//! Times for which endpoints want nothing from a host.

#![allow(clippy::unwrap_used)]

use masticstair_core::prelude::*;
use masticstair_policy::endpoint_pauses::EndpointPauses;

const FIRST: Incarnation = Incarnation::new(5);
const SECOND: Incarnation = Incarnation::new(6);

fn at(ms: u64) -> Timestamp {
    Timestamp::new(1 + ms * 1_000)
}

fn endpoint() -> EndpointId {
    "e".parse().unwrap()
}

fn may_send(table: &EndpointPauses, ms: u64, incarnation: Incarnation) -> bool {
    table.left(at(ms), &endpoint(), incarnation).is_zero()
}

/// Guards against a pause that is too short, never ends, or holds for another process of the endpoint.
#[test]
fn pauses_last_as_long_as_the_endpoint_asked() {
    struct Case {
        name: &'static str,
        /// When the endpoint asked, and for how many milliseconds.
        asked: &'static [(u64, u64)],
        ends_at: u64,
    }
    let day = 86_400_000;
    let cases = [
        Case { name: "once", asked: &[(0, 2_500)], ends_at: 2_500 },
        Case { name: "longer", asked: &[(0, 2_500), (100, 4_000)], ends_at: 4_100 },
        Case { name: "shorter", asked: &[(0, 2_500), (100, 400)], ends_at: 2_500 },
        Case { name: "for a day", asked: &[(0, 86_400_000)], ends_at: 600_000 },
        Case { name: "for ever", asked: &[(0, u64::MAX)], ends_at: 600_000 },
    ];
    for case in cases {
        let mut table = EndpointPauses::default();
        for (ms, pause) in case.asked {
            table.record(at(*ms), &endpoint(), FIRST, Millis::new(*pause));
        }
        assert!(!may_send(&table, case.ends_at - 1, FIRST), "{}", case.name);
        assert!(may_send(&table, case.ends_at, FIRST), "{}", case.name);
        assert!(may_send(&table, 200, SECOND), "{}: a later process", case.name);
        table.expire(at(2 * day));
        assert!(table.is_empty(), "{}", case.name);
    }
}

/// Guards against all waiting requests being sent at the end of a pause, and against an endpoint that is never used
/// again after a trial without an answer.
#[test]
fn one_request_tries_an_endpoint_after_its_pause() {
    let mut table = EndpointPauses::default();
    table.record(at(0), &endpoint(), FIRST, Millis::new(1_000));
    table.record_answer(&endpoint(), FIRST, at(500));
    assert!(!may_send(&table, 900, FIRST), "an answer to an earlier request ends no pause");

    table.record_request(at(1_000), &endpoint(), FIRST);
    assert!(!may_send(&table, 1_500, FIRST), "the trial is not answered");
    assert!(may_send(&table, 2_000, FIRST), "the trial got no answer");

    table.record_request(at(2_000), &endpoint(), FIRST);
    table.record(at(2_100), &endpoint(), FIRST, Millis::new(1_000));
    assert!(!may_send(&table, 3_000, FIRST), "the trial was turned away");

    table.record_request(at(3_100), &endpoint(), FIRST);
    table.record_answer(&endpoint(), FIRST, at(3_100));
    assert!(may_send(&table, 3_200, FIRST), "the trial was answered");
}

/// Guards against a pause of an earlier process that a late answer brings back.
#[test]
fn a_late_answer_of_an_earlier_process_is_ignored() {
    let mut table = EndpointPauses::default();
    table.record(at(0), &endpoint(), SECOND, Millis::new(1_000));
    assert!(!table.record(at(100), &endpoint(), FIRST, Millis::new(9_000)));
    assert!(may_send(&table, 1_000, SECOND));
}
