//! Who wrote the streams that clients take up.

#![allow(clippy::unwrap_used)]

use masticstair_core::prelude::*;
use masticstair_policy::stream_versions::{StreamNotice, StreamRecords, StreamWriter};

const RETENTION: Millis = Millis::new(20_000);

fn at(ms: u64) -> Timestamp {
    Timestamp::new(1 + ms * 1_000)
}

fn writer(version: &str) -> StreamWriter {
    let software = (!version.is_empty()).then(|| version.parse().unwrap());
    StreamWriter { service: "s".parse().unwrap(), software }
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
