//! Endpoints that write more than their answer on a connection that is kept.

#![allow(clippy::unwrap_used)]

use bytes::Bytes;
use http::{HeaderMap, Method};
use masticstair_core::prelude::*;
use masticstair_net::http::client::{Call, ClientLimits, ConnectionPool};
use masticstair_net::runtime::block_on;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// Longer than the extra bytes need to reach the client.
const PAUSE: Duration = Duration::from_millis(30);

/// What an endpoint does after its answer.
#[derive(Clone, Copy)]
enum After {
    Nothing,
    /// Writes these bytes together with the answer.
    Write(&'static str),
    /// Writes these bytes a little later.
    WriteLater(&'static str),
    Close,
}

/// Guards against bytes after the end of an answer that are read as the answer to the next request.
#[test]
fn a_connection_with_extra_bytes_is_not_used_again() {
    struct Case {
        name: &'static str,
        after: After,
        /// The connection that serves the second request.
        second: &'static str,
    }
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nold";
    let cases = [
        Case { name: "nothing", after: After::Nothing, second: "1" },
        Case { name: "answer at once", after: After::Write(answer), second: "2" },
        Case { name: "answer later", after: After::WriteLater(answer), second: "2" },
        Case { name: "a byte at once", after: After::Write("x"), second: "2" },
        Case { name: "a byte later", after: After::WriteLater("x"), second: "2" },
        Case { name: "the end of the connection", after: After::Close, second: "2" },
    ];
    for case in cases {
        let addr = start_endpoint(case.after);
        let bodies = block_on(async {
            let pool = ConnectionPool::new(ClientLimits::default());
            let first = fetch(&pool, addr).await;
            monoio::time::sleep(2 * PAUSE).await;
            [first, fetch(&pool, addr).await]
        });
        assert_eq!(bodies.unwrap(), ["1", case.second], "{}", case.name);
    }
}

async fn fetch(pool: &ConnectionPool, addr: SocketAddr) -> String {
    let call = Call {
        addr,
        method: Method::GET,
        path: "/".into(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        timeout: Millis::new(2_000),
        reuse: true,
    };
    match pool.fetch(call).await {
        Ok((_, body)) => String::from_utf8_lossy(&body).into_owned(),
        Err(e) => e.to_string(),
    }
}

/// Starts an endpoint that answers with the number of the connection.
fn start_endpoint(after: After) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for (n, stream) in listener.incoming().flatten().enumerate() {
            thread::spawn(move || serve(stream, n + 1, after));
        }
    });
    addr
}

fn serve(stream: TcpStream, number: usize, after: After) {
    let mut out = stream.try_clone().unwrap();
    let mut lines = BufReader::new(stream).lines();
    while lines.by_ref().map_while(Result::ok).any(|line| line.is_empty()) {
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n{number}");
        let written = match after {
            After::Nothing => out.write_all(answer.as_bytes()),
            After::Write(bytes) => out.write_all((answer + bytes).as_bytes()),
            After::WriteLater(bytes) => out.write_all(answer.as_bytes()).and_then(|()| {
                thread::sleep(PAUSE);
                out.write_all(bytes.as_bytes())
            }),
            After::Close => {
                out.write_all(answer.as_bytes()).and_then(|()| out.shutdown(Shutdown::Both))
            }
        };
        if written.is_err() {
            return;
        }
    }
}
