//! Endpoints that stop in the middle of the head of their answer and close the connection.

#![allow(clippy::unwrap_used)]

use bytes::Bytes;
use http::{HeaderMap, Method};
use masticstair_core::prelude::*;
use masticstair_net::http::client::{Call, ClientLimits, ConnectionPool};
use masticstair_net::runtime::block_on;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;

/// The heads of empty answers; `\r\n\r\n` is their end.
const HEADS: [&str; 3] = [
    "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\ncontent-length: 0\r\ncontent-type: text/plain\r\n\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-type: text/plain\r\n\r\n",
];

/// Guards against a head that is cut and becomes an answer without a body.
#[test]
fn an_answer_that_is_cut_within_its_head_is_an_error() {
    for head in HEADS {
        let addr = start_endpoint(head);
        block_on(async {
            let pool = ConnectionPool::new(ClientLimits::default());
            for length in 0..head.len() {
                let answer = pool.fetch(call(addr, length)).await;
                assert!(answer.is_err(), "{:?}: {answer:?}", &head[..length]);
            }
        })
        .unwrap();
    }
}

fn call(addr: SocketAddr, length: usize) -> Call {
    Call {
        addr,
        method: Method::GET,
        path: format!("/{length}").into(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        timeout: Millis::new(2_000),
        reuse: true,
    }
}

/// Starts an endpoint that answers with as much of the head as the path says.
fn start_endpoint(head: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || listener.incoming().flatten().for_each(|stream| serve(stream, head)));
    addr
}

fn serve(stream: TcpStream, head: &str) {
    let mut out = stream.try_clone().unwrap();
    let lines: Vec<_> = BufReader::new(stream)
        .lines()
        .map_while(Result::ok)
        .take_while(|line| !line.is_empty())
        .collect();
    let path = lines.first().and_then(|line| line.split(' ').nth(1)).unwrap_or("/0");
    let length = path[1..].parse().unwrap_or(0);
    let _ = out.write_all(&head.as_bytes()[..length]);
}
