//! Callers that stop waiting while the answer to their request is still due.

#![allow(clippy::unwrap_used)]

use bytes::Bytes;
use http::{HeaderMap, Method};
use masticstair_core::prelude::*;
use masticstair_net::http::client::{Call, ClientLimits, ConnectionPool};
use masticstair_net::http::relay::{AnswerRoom, RelayCall, RelayPool};
use masticstair_net::runtime::block_on;
use monoio::time::timeout;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// The pauses of an endpoint before its answer and in the body.
const PAUSE: Duration = Duration::from_millis(40);

const LONG: Duration = Duration::from_secs(2);

const BODY_LIMIT: usize = 100;

/// Guards against an answer that is still due on a connection and that the next request gets.
#[test]
fn an_abandoned_answer_reaches_no_other_request() {
    struct Case {
        name: &'static str,
        /// How long the caller waits.
        wait: Duration,
        reads_body: bool,
    }
    let cases = [
        Case { name: "before the head", wait: PAUSE / 2, reads_body: true },
        Case { name: "within the body", wait: PAUSE + PAUSE / 2, reads_body: true },
        Case { name: "body not read", wait: LONG, reads_body: false },
        Case { name: "connection not kept", wait: LONG, reads_body: true },
    ];
    for case in cases {
        let addr = start_endpoint();
        let answers = block_on(async {
            let (relay, client) =
                (RelayPool::default(), ConnectionPool::new(ClientLimits::default()));
            let _ = timeout(case.wait, read_relayed(&relay, addr, "old", case.reads_body)).await;
            let _ = timeout(case.wait, read(&client, addr, "old", case.reads_body)).await;
            [read_relayed(&relay, addr, "new", true).await, read(&client, addr, "new", true).await]
        });
        assert_eq!(answers.unwrap(), ["new", "new"], "{}", case.name);
    }
}

/// Reads an answer, without its connection being kept.
async fn read_relayed(pool: &RelayPool, addr: SocketAddr, path: &str, reads_body: bool) -> Bytes {
    let call = RelayCall {
        addr,
        method: Method::GET,
        target: format!("/{path}").into(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        connect_timeout: LONG,
        max_idle: LONG,
    };
    let (_, body) = pool.send(call).await.unwrap();
    match reads_body {
        true => body.read_all(BODY_LIMIT, &AnswerRoom::default()).await.unwrap().0,
        false => Bytes::new(),
    }
}

async fn read(pool: &ConnectionPool, addr: SocketAddr, path: &str, reads_body: bool) -> Bytes {
    let call = Call {
        addr,
        method: Method::GET,
        path: format!("/{path}").into(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        timeout: Millis::new(LONG.as_millis() as u64),
        reuse: true,
    };
    let (_, body) = pool.send(call).await.unwrap();
    if reads_body { body.read_all().await.unwrap() } else { Bytes::new() }
}

/// Starts an endpoint that answers with the path, in two parts.
fn start_endpoint() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || serve(stream));
        }
    });
    addr
}

fn serve(stream: TcpStream) {
    let mut out = stream.try_clone().unwrap();
    let mut lines = BufReader::new(stream).lines().map_while(Result::ok);
    while let Some(line) = lines.next() {
        let path = line.split(['/', ' ']).nth(2).unwrap_or_default().to_owned();
        lines.by_ref().find(|line| line.is_empty());
        thread::sleep(PAUSE);
        let (begin, end) = path.split_at(1);
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{begin}", path.len());
        let _ = out.write_all(head.as_bytes());
        thread::sleep(PAUSE);
        let _ = out.write_all(end.as_bytes());
    }
}
