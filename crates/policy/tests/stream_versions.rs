//! Who wrote the streams that clients take up.

#![allow(clippy::unwrap_used)]

use masticstair_core::prelude::*;
use masticstair_policy::directory::{ServingEndpoint, ServingState};
use masticstair_policy::stream_versions::{
    SoftwareHistory, StreamNotice, StreamRecords, StreamWriter,
};
use std::time::Duration;

const RETENTION: Millis = Millis::new(20_000);

fn at(ms: u64) -> Timestamp {
    Timestamp::new(1 + ms * 1_000)
}

fn writer(version: &str) -> StreamWriter {
    let software = (!version.is_empty()).then(|| version.parse().unwrap());
    StreamWriter { service: "s".parse().unwrap(), software }
}

fn endpoint(version: &str) -> ServingEndpoint {
    ServingEndpoint {
        id: "e".parse().unwrap(),
        service: writer(version).service,
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: "dc-1".parse().unwrap(),
        capacity: Slots::new(1),
        incarnation: Incarnation::new(1),
        state: ServingState::Ready,
        cold: Millis::new(0),
        software: writer(version).software,
    }
}

fn attempt(id: &str) -> CallId {
    id.parse().unwrap()
}

/// Guards against a stream that goes on at a version that did not begin it (ORDER).
#[test]
fn a_record_names_one_writer_or_none() {
    struct Case {
        name: &'static str,
        recorded: &'static [&'static str],
        found_ms: u64,
        found: Option<&'static str>,
    }
    let cases = [
        Case { name: "none", recorded: &[], found_ms: 0, found: None },
        Case { name: "one", recorded: &["v1"], found_ms: 19_000, found: Some("v1") },
        Case { name: "old", recorded: &["v1"], found_ms: 21_000, found: None },
        Case { name: "told twice", recorded: &["v1", "v1"], found_ms: 0, found: Some("v1") },
        Case { name: "two streams", recorded: &["v1", "v2"], found_ms: 0, found: None },
        Case { name: "and again", recorded: &["v1", "v2", "v2"], found_ms: 0, found: None },
        Case { name: "no version", recorded: &[""], found_ms: 0, found: Some("") },
        Case { name: "none, then one", recorded: &["", "v1"], found_ms: 0, found: None },
    ];
    for case in cases {
        let (mut own, mut copy) = (StreamRecords::default(), StreamRecords::default());
        for version in case.recorded {
            let notice = own.record(at(0), &attempt("a"), writer(version), RETENTION);
            copy.merge(at(0), vec![notice]);
        }
        let mut restarted = StreamRecords::default();
        restarted.merge(at(0), own.own(at(0)));
        for records in [&mut own, &mut copy, &mut restarted] {
            let found = records.find(at(case.found_ms), &attempt("a")).cloned();
            assert_eq!(found, case.found.map(writer), "{}", case.name);
            assert_eq!(records.find(at(0), &attempt("b")), None, "{}", case.name);
            records.expire(at(case.found_ms));
            assert_eq!(records.is_empty(), case.found_ms > 20_000 || case.recorded.is_empty());
        }
        assert!(copy.own(at(0)).is_empty(), "{}: what other hosts forwarded", case.name);
    }
}

/// Guards against records without a bound.
#[test]
fn the_oldest_records_are_removed() {
    let mut records = StreamRecords::default();
    for n in 0..33_000 {
        let writer = Some(writer("v1"));
        let notice = StreamNotice { attempt: attempt(&format!("a{n}")), writer, left: RETENTION };
        records.merge(at(n), vec![notice]);
    }
    assert_eq!(records.len(), 32_768);
    assert_eq!(records.find(at(0), &attempt("a0")), None);
    assert_eq!(records.find(at(0), &attempt("a32999")), Some(&writer("v1")));
}

/// Guards against a version that is taken for the only one although another one may have written the stream (ORDER).
#[test]
fn one_version_is_certain_only_if_no_other_can_be_missing() {
    struct Case {
        name: &'static str,
        /// The versions, with the time at which each was listed last.
        listed: &'static [(&'static str, u64)],
        /// Since when all control hosts answer.
        complete_ms: u64,
        asked_ms: u64,
        span_s: u64,
        found: Option<&'static str>,
    }
    let case = |name, listed, asked_ms, found| Case {
        name,
        listed,
        complete_ms: 0,
        asked_ms,
        span_s: 20,
        found,
    };
    let cases = [
        case("one", &[("v1", 60_000)], 60_000, Some("v1")),
        case("two", &[("v1", 60_000), ("v2", 60_000)], 60_000, None),
        case("left", &[("v1", 60_000), ("v2", 39_000)], 60_000, None),
        case("left long ago", &[("v1", 60_000), ("v2", 37_000)], 60_000, Some("v1")),
        case("just started", &[("v1", 0)], 19_000, None),
        case("long enough", &[("v1", 20_000)], 20_000, Some("v1")),
        case("no version", &[("", 60_000)], 60_000, Some("")),
        case("none", &[], 60_000, None),
        Case { complete_ms: 41_000, ..case("silent before", &[("v1", 60_000)], 60_000, None) },
        Case {
            complete_ms: 40_000,
            ..case("answers again", &[("v1", 60_000)], 60_000, Some("v1"))
        },
        Case { span_s: 599, ..case("not remembered", &[("v1", 900_000)], 900_000, None) },
    ];
    for case in cases {
        let mut history = SoftwareHistory::default();
        history.record_contact(at(0), case.complete_ms == 0);
        for (version, ms) in case.listed {
            history.record(at(*ms), [endpoint(version)].iter());
        }
        history.record_contact(at(case.complete_ms), true);
        let service = writer("").service;
        let found =
            history.sole_writer(at(case.asked_ms), &service, Duration::from_secs(case.span_s));
        assert_eq!(found, case.found.map(writer), "{}", case.name);
    }
}
