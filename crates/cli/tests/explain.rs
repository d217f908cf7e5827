//! Following one request through the logs of several hosts.

#![allow(clippy::unwrap_used)]

use insta::assert_snapshot;
use masticstair_cli::explain::{LogLine, find_story, format_story};
use std::time::Duration;

const LOG: &str = r#"
{"msg":"request finished","level":"INFO","ts":"2026-12-04T10:00:05.500Z","data_centre":"a","host":"edge-1","request":"r1","outcome":"unknown","attempts":"m1:broken:5ms","end_ms":845}
{"msg":"request finished","level":"INFO","ts":"2026-12-04T10:00:05.600Z","data_centre":"a","host":"edge-1","request":"r2","outcome":"answered","attempts":"m2:200:9ms","end_ms":9}
not a line of a host
{"msg":"stage abandoned","level":"INFO","ts":"2026-12-04T10:00:05.100Z","data_centre":"b","host":"core-1","request":"r1","service":"s"}
{"msg":"endpoint expired after missed heartbeats","level":"INFO","ts":"2026-12-04T10:00:09.100Z","data_centre":"b","host":"core-1","endpoint":"m1"}
{"msg":"endpoint announced","level":"INFO","ts":"2026-12-04T09:59:09.100Z","data_centre":"b","host":"core-1","endpoint":"m1"}
{"msg":"endpoint expired after missed heartbeats","level":"INFO","ts":"2026-12-04T10:00:09.100Z","data_centre":"b","host":"core-1","endpoint":"m2"}
"#;

/// Guards against a story that lacks lines of other hosts, or is full of those of other requests.
#[test]
fn story_has_the_lines_of_a_request_and_of_its_endpoints() {
    let lines: Vec<_> = LOG.lines().filter_map(LogLine::parse).collect();
    assert_eq!(lines.len(), 6);
    let story = find_story(&lines, "r1", Duration::from_secs(5)).unwrap();
    assert_snapshot!(format_story(&story), @r#"
    2026-12-04T10:00:05.100Z core-1 stage abandoned request="r1" service="s"
    2026-12-04T10:00:05.500Z edge-1 request finished attempts="m1:broken:5ms" end_ms=845 outcome="unknown" request="r1"
    2026-12-04T10:00:09.100Z core-1 endpoint expired after missed heartbeats endpoint="m1"
    "#);
    assert_eq!(find_story(&lines, "r3", Duration::from_secs(5)), None);
}
