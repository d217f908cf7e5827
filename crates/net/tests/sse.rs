//! Server-sent events that arrive in pieces of any size.
#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use masticstair_core::unit::ByteCount;
use masticstair_net::http::sse::{SseError, SseParser};
use std::time::{Duration, Instant};

/// The limit of the parser.
const LIMIT: usize = 256 << 10;

/// The time for an event of that size, far above what one pass over each byte takes.
const PARSE_LIMIT: Duration = Duration::from_secs(5);

/// Guards against events that are cut wrong because a blank line comes in several pieces.
#[test]
fn events_are_found_in_pieces_of_any_size() {
    struct Case {
        name: &'static str,
        stream: &'static str,
        data: &'static [&'static str],
    }
    let cases = [
        Case { name: "LF", stream: "data: a\n\ndata: b\n\n", data: &["a", "b"] },
        Case { name: "CRLF", stream: "data: a\r\n\r\ndata: b\r\n\r\n", data: &["a", "b"] },
        Case {
            name: "a comment between",
            stream: "data: a\n\n: c\n\ndata: b\n\n",
            data: &["a", "b"],
        },
        Case { name: "no end", stream: "data: a\n\ndata: b\n", data: &["a"] },
        Case { name: "two lines", stream: "data: a\ndata: b\n\n", data: &["a\nb"] },
    ];
    for case in cases {
        for size in 1..=case.stream.len() {
            let mut parser = SseParser::new(ByteCount::new(LIMIT as u64));
            let mut found = Vec::new();
            for chunk in case.stream.as_bytes().chunks(size) {
                parser.push(chunk).unwrap();
                while let Some(event) = parser.next_event().unwrap() {
                    found.push(event.data);
                }
            }
            assert!(
                found.iter().map(|d| &**d).eq(case.data.iter().copied()),
                "{}, {size}",
                case.name
            );
        }
    }
}

/// Guards against bytes without an end of event that cost the square of the limit when they trickle in.
#[test]
fn an_event_without_end_is_scanned_once() {
    let mut parser = SseParser::new(ByteCount::new(LIMIT as u64));
    let begin = Instant::now();
    for _ in 0..LIMIT {
        parser.push(b"x").unwrap();
        assert_eq!(parser.next_event(), Ok(None));
        assert!(begin.elapsed() < PARSE_LIMIT, "too slow");
    }
    assert_eq!(parser.push(b"x"), Err(SseError::TooLarge(ByteCount::new(LIMIT as u64))));
}
