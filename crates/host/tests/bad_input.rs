//! Malformed, oversized and slow input is refused with a clear reason and doesn't affect other callers.

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;
use support::{TOKEN, TestHost, exchange, post};

const BOUNDS: &str = "[bounds]\nhead_bytes = 8192\nhead_timeout_ms = 300\nbody_bytes = 1000\n\
                      body_timeout_ms = 300\nrequests_per_connection = 2\nconnections = 20\n";

struct Case {
    name: &'static str,
    request: Vec<u8>,
    /// Texts that the response must contain.
    expect: &'static [&'static str],
}

fn with_token(path: &str, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let bearer = format!("Bearer {TOKEN}");
    let mut all = vec![("authorization", bearer.as_str())];
    all.extend_from_slice(headers);
    post(path, &all, body)
}

fn cases() -> Vec<Case> {
    let long_key = "k".repeat(129);
    let long_body = "x".repeat(1_001);
    let long_head = "x".repeat(20_000);
    let lookup = "/v1/pipelines/lookup";
    let deadline = "masticstair-deadline-ms";
    let case = |name, request, expect| Case { name, request, expect };
    vec![
        case("no token", post(lookup, &[], "{}"), &[" 401 ", "\"field\":\"authorization\""]),
        case(
            "wrong token",
            post(lookup, &[("authorization", "Bearer wrong")], "{}"),
            &[" 401 ", "not_run"],
        ),
        case(
            "unknown pipeline",
            with_token("/v1/pipelines/nothing", &[], "{}"),
            &[" 404 ", "\"field\":\"pipeline\""],
        ),
        case(
            "pipeline name with characters that are not allowed",
            with_token("/v1/pipelines/%00..%2f", &[], "{}"),
            &[" 404 ", "\"field\":\"pipeline\""],
        ),
        case(
            "unknown path",
            with_token("/v1/nothing", &[], "{}"),
            &[" 404 ", "\"field\":\"path\""],
        ),
        case("malformed JSON", with_token(lookup, &[], "{"), &[" 400 ", "\"field\":\"body\""]),
        case("empty body", with_token(lookup, &[], ""), &[" 400 ", "\"field\":\"body\""]),
        case(
            "deadline of zero",
            with_token(lookup, &[(deadline, "0")], "{}"),
            &[" 400 ", "\"field\":\"masticstair-deadline-ms\""],
        ),
        case(
            "deadline above the limit",
            with_token(lookup, &[(deadline, "1001")], "{}"),
            &[" 400 ", "from 1 to 1000"],
        ),
        case(
            "deadline that overflows",
            with_token(lookup, &[(deadline, "99999999999999999999999")], "{}"),
            &[" 400 ", "\"field\":\"masticstair-deadline-ms\""],
        ),
        case(
            "missing key",
            with_token("/v1/pipelines/order", &[], "{}"),
            &[" 400 ", "\"field\":\"idempotency-key\"", "not_run"],
        ),
        case(
            "oversized key",
            with_token("/v1/pipelines/order", &[("idempotency-key", &long_key)], "{}"),
            &[" 400 ", "129 characters"],
        ),
        case(
            "key with a space",
            with_token("/v1/pipelines/order", &[("idempotency-key", "a b")], "{}"),
            &[" 400 ", "\"field\":\"idempotency-key\""],
        ),
        case("oversized body", with_token(lookup, &[], &long_body), &[" 413 ", "1000 bytes"]),
        case("oversized head", with_token(lookup, &[("x-long", &long_head)], "{}"), &[" 431 "]),
        case("not HTTP", b"\x16\x03\x01 garbage \r\n\r\n".to_vec(), &[" 400 "]),
        case(
            "malformed announcement",
            b"PUT /v1/endpoints/e1 HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\
              content-length: 2\r\n\r\n{}"
                .to_vec(),
            &[" 400 ", "\"field\":\"body\""],
        ),
    ]
}

/// Guards against panics, and against refusals that don't name the field or don't report `not_run`.
#[test]
fn bad_requests_are_refused_with_the_field_named() {
    let host = TestHost::start(BOUNDS);
    for case in cases() {
        let response = exchange(host.addr(), &[&case.request]);
        for expected in case.expect {
            assert!(response.contains(expected), "{}: {expected} not in {response}", case.name);
        }
    }
    let alive = exchange(host.addr(), &[b"GET /healthz HTTP/1.1\r\nconnection: close\r\n\r\n"]);
    assert!(alive.contains(" 200 "), "{alive}");
}

/// Guards against clients that hold connections open by sending a partial request.
#[test]
fn slow_senders_are_answered_and_closed() {
    let host = TestHost::start(BOUNDS);
    struct Slow {
        name: &'static str,
        parts: &'static [&'static [u8]],
        expect: &'static str,
    }
    let cases = [
        Slow { name: "half a head", parts: &[b"POST /v1/pipe"], expect: " 408 " },
        Slow {
            name: "half a body",
            parts: &[
                b"POST /v1/pipelines/lookup HTTP/1.1\r\nhost: h\r\ncontent-length: 10\r\n\r\n",
                b"{",
            ],
            expect: " 408 ",
        },
    ];
    for case in cases {
        let response = exchange(host.addr(), case.parts);
        assert!(response.contains(case.expect), "{}: {response:?}", case.name);
    }
}

/// Guards against one connection that occupies a worker indefinitely.
#[test]
fn a_connection_closes_after_its_last_request() {
    let host = TestHost::start(BOUNDS);
    let request: &[u8] = b"GET /healthz HTTP/1.1\r\nhost: h\r\n\r\n";
    let response = exchange(host.addr(), &[request, request, request]);
    assert_eq!(response.matches(" 200 OK").count(), 2, "{response}");
    assert!(response.contains("connection: close"), "{response}");
}

/// Guards against a process that runs out of file descriptors because it accepts any number of connections.
#[test]
fn connections_above_the_limit_are_refused_until_others_close() {
    let host = TestHost::start(BOUNDS);
    let mut held: Vec<TcpStream> = Vec::new();
    for _ in 0..20 {
        let mut stream = TcpStream::connect(host.addr()).unwrap();
        stream.write_all(b"GET /hea").unwrap();
        held.push(stream);
    }
    std::thread::sleep(Duration::from_millis(50));
    let mut refused = TcpStream::connect(host.addr()).unwrap();
    let mut response = String::new();
    refused.read_to_string(&mut response).unwrap();
    assert!(response.contains(" 429 ") && response.contains("retry"), "{response}");
    drop(held);
    std::thread::sleep(Duration::from_millis(50));
    let alive = exchange(host.addr(), &[b"GET /healthz HTTP/1.1\r\nconnection: close\r\n\r\n"]);
    assert!(alive.contains(" 200 "), "{alive}");
}
