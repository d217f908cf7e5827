//! `bundle roll --wait` against a stand-in of a host that reports hosts that lag.

#![allow(clippy::unwrap_used)]

mod support;

use masticstair_cli::operator::OperatorKey;
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use support::masticstair;

struct Case {
    /// Which failure the case guards against.
    name: &'static str,
    /// The revisions that host h2 reports, one for each read of the status; the last one stays.
    reported: &'static [Option<u64>],
    status: i32,
    stdout: &'static str,
    stderr: &'static str,
}

const CASES: [Case; 4] = [
    Case {
        name: "a wait without an end when every host has the revision",
        reported: &[Some(5)],
        status: 0,
        stdout: "All 2 live hosts report revision 5.",
        stderr: "",
    },
    Case {
        name: "a wait that ends before the last host",
        reported: &[Some(4), Some(4), Some(5)],
        status: 0,
        stdout: "All 2 live hosts report revision 5.",
        stderr: "waiting for revision 5:\n  h2 in dc1 has revision 4\n",
    },
    Case {
        name: "a newer revision of another operator counts as a lag",
        reported: &[None, Some(6)],
        status: 0,
        stdout: "All 2 live hosts report revision 5.",
        stderr: "h2 in dc1 has revision none",
    },
    Case {
        name: "a host that lags for good is not named, or the roll looks refused",
        reported: &[Some(4)],
        status: 1,
        stdout: "is in force as revision 5.",
        stderr: "revision 5 is in force, but after 600 ms not every host reported it:\n  h2 in dc1 has",
    },
];

/// Guards against a wait that ends early, or never, or does not say which host lags.
#[test]
fn a_roll_waits_for_every_live_host() {
    let folder = tempfile::tempdir().unwrap();
    let key = folder.path().join("anna.key");
    OperatorKey::generate("anna".parse().unwrap()).save(&key).unwrap();
    let (key, sha256) = (key.display().to_string(), "ab".repeat(32));
    for case in &CASES {
        let host = stand_in(case.reported).to_string();
        let run = masticstair(&[
            "bundle",
            "roll",
            "--wait",
            "--wait-ms",
            "600",
            "--expect",
            "4",
            &sha256,
            "--key",
            &key,
            "--host",
            &host,
            "--deployment",
            "t",
        ]);
        assert_eq!(run.status, case.status, "{}: {run:#?}", case.name);
        assert!(run.stdout.contains(case.stdout), "{}: {run:#?}", case.name);
        assert!(run.stderr.contains(case.stderr), "{}: {run:#?}", case.name);
    }
}

/// Answers a roll, and reads of the status; each connection carries one request.
fn stand_in(reported: &'static [Option<u64>]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        let mut reads = 0;
        for stream in listener.incoming() {
            let mut stream = BufReader::new(stream.unwrap());
            let (mut first, mut length) = (String::new(), 0);
            stream.read_line(&mut first).unwrap();
            loop {
                let mut line = String::new();
                stream.read_line(&mut line).unwrap();
                if let Some(value) = line.to_lowercase().strip_prefix("content-length:") {
                    length = value.trim().parse().unwrap();
                }
                if line.trim().is_empty() {
                    break;
                }
            }
            stream.read_exact(&mut vec![0; length]).unwrap();
            let body = if first.starts_with("POST") {
                json!({ "done": "rolled", "sha256": "ab".repeat(32), "revision": 5 })
            } else {
                let revision = reported[reads.min(reported.len() - 1)];
                reads += 1;
                status(revision)
            };
            let body = body.to_string();
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
            stream.get_mut().write_all((head + &body).as_bytes()).unwrap();
        }
    });
    addr
}

fn status(revision: Option<u64>) -> Value {
    let host = |host: &str, revision: Option<u64>| {
        json!({ "host": host, "data_centre": "dc1", "peer_address": "127.0.0.1:7000",
            "incarnation": 1, "suspected": false, "revision": revision, "reported_ms": 1,
            "lags": revision != Some(5) })
    };
    json!({
        "deployment": "t", "unhealthy": [], "revision": 5, "confirmed": true, "version": null,
        "sha256": null,
        "this_host": { "host": "h1", "region": "r", "data_centre": "dc1", "incarnation": 1,
            "not_serving": null, "leaving": false, "waiting": 0, "in_flight": 0, "connections": 0,
            "storage_fault": null },
        "hosts": [host("h1", Some(5)), host("h2", revision)],
        "leader": "h1", "term": 1, "last": 1, "commit": 1, "voters_changing": false, "voters": [],
        "pools": [],
    })
}
