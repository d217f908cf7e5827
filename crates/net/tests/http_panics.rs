//! Panics in the request handler of the HTTP server.

#![allow(clippy::unwrap_used)]

use bytes::Bytes;
use futures_util::FutureExt;
use http::{HeaderMap, Method, StatusCode};
use masticstair_core::prelude::*;
use masticstair_net::http::client::{Call, ClientLimits, ConnectionPool};
use masticstair_net::http::server::{self, ConnectionCount, Handler, Response, ServerLimits};
use masticstair_net::runtime::block_on;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Guards against a panic in one request that stops the worker or aborts requests on other connections, and
/// against reporting such a request as `not_run`, since it may have run in part.
#[test]
fn a_panic_ends_only_its_own_request() {
    struct Case {
        name: &'static str,
        path: &'static str,
        status: u16,
        body: &'static str,
    }
    let cases = [
        Case { name: "before", path: "/ok", status: 200, body: "ok" },
        Case { name: "panic at once", path: "/panic", status: 500, body: "\"unknown\"" },
        Case { name: "panic after a wait", path: "/late-panic", status: 500, body: "\"unknown\"" },
        Case { name: "after", path: "/ok", status: 200, body: "ok" },
    ];
    block_on(async {
        let listener = server::bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let addr = listener.local_addr().unwrap();
        let (limits, count) = (ServerLimits::default(), ConnectionCount::default());
        monoio::spawn(server::serve(
            listener,
            move || limits,
            count,
            handler(),
            std::future::pending(),
        ));
        let slow = monoio::spawn(fetch(addr, "/slow"));
        for case in cases {
            let (status, body) = fetch(addr, case.path).await;
            assert_eq!(status, case.status, "{}", case.name);
            assert!(body.contains(case.body), "{}: {body}", case.name);
        }
        assert_eq!(slow.await, (200, "ok".to_owned()), "a request beside the panics");
    })
    .unwrap();
}

fn handler() -> Handler {
    Rc::new(|req| {
        async move {
            match req.path() {
                "/panic" => panic!("a panic of the test"),
                "/late-panic" => {
                    monoio::time::sleep(Duration::from_millis(5)).await;
                    panic!("a panic of the test");
                }
                "/slow" => monoio::time::sleep(Duration::from_millis(200)).await,
                _ => {}
            }
            Response::new(StatusCode::OK, "text/plain", "ok")
        }
        .boxed_local()
    })
}

async fn fetch(addr: SocketAddr, path: &'static str) -> (u16, String) {
    let pool = ConnectionPool::new(ClientLimits::default());
    let call = Call {
        addr,
        method: Method::GET,
        path: path.into(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        timeout: Millis::new(2_000),
        reuse: true,
    };
    let (head, body) = pool.fetch(call).await.unwrap();
    (head.status.as_u16(), String::from_utf8_lossy(&body).into_owned())
}
