//! Who wrote the streams that clients take up.

#![allow(clippy::unwrap_used)]

use masticstair_core::prelude::*;
use masticstair_policy::stream_versions::{
    SoftwareHistory, SoftwareSighting, StreamNotice, StreamRecords, StreamWriter,
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
        /// The time that the other host covers.
        covered_ms: u64,
        /// The versions that it knows, with the time since each was listed last.
        sightings: &'static [(&'static str, u64)],
        asked_ms: u64,
        found: Option<&'static str>,
    }
    let cases = [
        Case {
            name: "one",
            covered_ms: 60_000,
            sightings: &[("v1", 0)],
            asked_ms: 0,
            found: Some("v1"),
        },
        Case {
            name: "two",
            covered_ms: 60_000,
            sightings: &[("v1", 0), ("v2", 0)],
            asked_ms: 0,
            found: None,
        },
        Case {
            name: "left",
            covered_ms: 60_000,
            sightings: &[("v1", 0), ("v2", 19_000)],
            asked_ms: 0,
            found: None,
        },
        Case {
            name: "left long ago",
            covered_ms: 60_000,
            sightings: &[("v1", 0), ("v2", 30_000)],
            asked_ms: 0,
            found: Some("v1"),
        },
        Case {
            name: "left meanwhile",
            covered_ms: 60_000,
            sightings: &[("v1", 0), ("v2", 9_000)],
            asked_ms: 12_000,
            found: None,
        },
        Case {
            name: "just started",
            covered_ms: 5_000,
            sightings: &[("v1", 0)],
            asked_ms: 0,
            found: None,
        },
        Case {
            name: "long enough",
            covered_ms: 5_000,
            sightings: &[("v1", 0)],
            asked_ms: 15_000,
            found: Some("v1"),
        },
        Case {
            name: "no version",
            covered_ms: 60_000,
            sightings: &[("", 0)],
            asked_ms: 0,
            found: Some(""),
        },
        Case { name: "none", covered_ms: 60_000, sightings: &[], asked_ms: 0, found: None },
    ];
    let service = writer("").service;
    for case in cases {
        let sighting = |(version, ms): &(&str, u64)| SoftwareSighting {
            writer: writer(version),
            age: Millis::new(*ms),
        };
        let mut history = SoftwareHistory::default();
        history.record(at(0), std::iter::empty());
        let told = case.sightings.iter().map(sighting).collect();
        history.merge(at(0), Millis::new(case.covered_ms), told);
        let asked = at(case.asked_ms);
        let found = history.sole_writer(asked, &service, Duration::from_secs(20));
        assert_eq!(found, case.found.map(writer), "{}", case.name);

        // A host that starts learns the same.
        let (covered, sightings) = history.sightings(asked);
        let mut started = SoftwareHistory::default();
        started.merge(at(0), covered, sightings);
        let found = started.sole_writer(at(0), &service, Duration::from_secs(20));
        assert_eq!(found, case.found.map(writer), "{}", case.name);
    }
}
