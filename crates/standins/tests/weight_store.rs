//! Tests the rate limit of the simulated weight store.

#![allow(clippy::unwrap_used)]

use bytes::Bytes;
use http::{HeaderMap, Method};
use masticstair_core::prelude::*;
use masticstair_net::http::client::{Call, ClientLimits, ConnectionPool};
use masticstair_net::runtime::block_on;
use masticstair_standins::WeightStore;

/// Guards against a stand-in that accepts more loads than its limit, which would hide a client that loads too fast.
#[test]
fn loads_beyond_the_limit_are_refused() {
    struct Case {
        name: &'static str,
        path: &'static str,
        status: u16,
    }
    let cases = [
        Case { name: "first load", path: "/v1/weights/m/1", status: 200 },
        Case { name: "second load", path: "/v1/weights/m/2", status: 200 },
        Case { name: "beyond the limit", path: "/v1/weights/m/3", status: 429 },
        Case { name: "unknown path", path: "/v1/weights/m", status: 404 },
    ];
    block_on(async {
        let store = WeightStore { loads_per_minute: Slots::new(2), load_time: Millis::new(1) };
        let addr = store.start("127.0.0.1:0".parse().unwrap()).unwrap();
        let pool = ConnectionPool::new(ClientLimits::default());
        for case in cases {
            let call = Call {
                addr,
                method: Method::GET,
                path: case.path.into(),
                headers: HeaderMap::new(),
                body: Bytes::new(),
                timeout: Millis::new(2_000),
                reuse: true,
            };
            let (head, _) = pool.fetch(call).await.unwrap();
            assert_eq!(head.status.as_u16(), case.status, "{}", case.name);
        }
    })
    .unwrap();
}
