//! Endpoints whose answers begin with a status line that is none, or is not that of a final response.

#![allow(clippy::unwrap_used)]

use bytes::Bytes;
use http::{HeaderMap, Method};
use masticstair_core::prelude::*;
use masticstair_net::http::client::{Call, ClientLimits, ConnectionPool};
use masticstair_net::http::relay::{RelayCall, RelayPool};
use masticstair_net::memory::MemoryAccount;
use masticstair_net::runtime::block_on;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(2);

/// Guards against bytes that are no response, or no final one, and that callers get as an answer.
#[test]
fn only_a_final_status_begins_an_answer() {
    struct Case {
        line: &'static str,
        /// The status of the answer; none if the bytes are no answer.
        status: Option<u16>,
    }
    let cases = [
        Case { line: "HTTP/1.1 200 OK", status: Some(200) },
        Case { line: "HTTP/1.1 599 X", status: Some(599) },
        Case { line: "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 200 OK", status: Some(200) },
        Case {
            line: "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 103 X\r\n\r\nHTTP/1.1 503 X",
            status: Some(503),
        },
        Case { line: "HTTP/1.1 100 X", status: None },
        Case { line: "HTTP/1.1 101 X", status: None },
        Case { line: "HTTP/1.1 101 X\r\nconnection: upgrade\r\nupgrade: x", status: None },
        Case { line: "HTTP/1.1 101 X\r\n\r\nHTTP/1.1 200 OK", status: None },
        Case { line: "HTTP/1.1 199 X", status: None },
        Case { line: "HTTP/1.1 000 X", status: None },
        Case { line: "HTTP/1.1 099 X", status: None },
        Case { line: "HTTP/1.1 600 X", status: None },
        Case { line: "HTTP/1.1 999 X", status: None },
        Case { line: "HTTP/1.1 2000 X", status: None },
        Case { line: "HTTP/1.1 20 X", status: None },
        Case { line: "HTTP/1.1 2x0 X", status: None },
        Case { line: "HTTP/1.1 +20 X", status: None },
        Case { line: "HTTP/1.1", status: None },
        Case { line: "HTTP/2.0 200 OK", status: None },
        Case { line: "ICY 200 OK", status: None },
    ];
    let mut wrong = Vec::new();
    for case in cases {
        let addr = start_endpoint(case.line);
        let answers = block_on(async { [relay(addr).await, fetch(addr).await] }).unwrap();
        if answers != [case.status; 2] {
            wrong.push((case.line, answers));
        }
    }
    assert!(wrong.is_empty(), "statuses of the relay and the client: {wrong:#?}");
}

async fn relay(addr: SocketAddr) -> Option<u16> {
    let call = RelayCall {
        addr,
        method: Method::GET,
        target: "/".into(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        connect_timeout: TIMEOUT,
        max_idle: TIMEOUT,
    };
    let pool = RelayPool::new(MemoryAccount::default());
    pool.send(call).await.ok().map(|(head, _)| head.status.as_u16())
}

async fn fetch(addr: SocketAddr) -> Option<u16> {
    let call = Call {
        addr,
        method: Method::GET,
        path: "/".into(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        timeout: Millis::new(TIMEOUT.as_millis() as u64),
        reuse: true,
    };
    let pool = ConnectionPool::new(ClientLimits::default());
    pool.fetch(call).await.ok().map(|(head, _)| head.status.as_u16())
}

/// Starts an endpoint that begins its answers with these lines.
fn start_endpoint(lines: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || listener.incoming().flatten().for_each(|stream| serve(stream, lines)));
    addr
}

fn serve(stream: TcpStream, lines: &str) {
    let mut out = stream.try_clone().unwrap();
    let _ = BufReader::new(stream).lines().map_while(Result::ok).any(|line| line.is_empty());
    let _ = out.write_all(format!("{lines}\r\ncontent-length: 2\r\n\r\nok").as_bytes());
}
