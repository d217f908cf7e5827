//! A stand-in for the load balancer before the hosts: it asks each for `/readyz` and sends requests to
//! those that are ready, in turn.

use bytes::Bytes;
use http::{HeaderMap, Method};
use masticstair_core::prelude::*;
use masticstair_net::http::client::{Call, ClientLimits, ConnectionPool};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How often a host is asked whether it is ready.
const INTERVAL: Duration = Duration::from_millis(100);
/// How long its answer may take.
const TIMEOUT: Millis = Millis::new(300);

/// The hosts and whether they are ready.
#[derive(Clone)]
pub(super) struct Balancer {
    hosts: Rc<[Host]>,
    next: Rc<Cell<usize>>,
}

struct Host {
    addr: SocketAddr,
    ready: Cell<bool>,
}

impl Balancer {
    /// Starts one task for each host; the tasks end with the last handle.
    pub(super) fn start(targets: &[SocketAddr]) -> Self {
        let hosts: Rc<[Host]> =
            targets.iter().map(|addr| Host { addr: *addr, ready: Cell::new(true) }).collect();
        for position in 0..hosts.len() {
            let watched = Rc::downgrade(&hosts);
            let addr = hosts[position].addr;
            monoio::spawn(async move {
                let pool = ConnectionPool::new(ClientLimits::default());
                while watched.strong_count() > 0 {
                    let ready = is_ready(&pool, addr).await;
                    let Some(hosts) = watched.upgrade() else { return };
                    hosts[position].ready.set(ready);
                    drop(hosts);
                    monoio::time::sleep(INTERVAL).await;
                }
            });
        }
        Self { hosts, next: Rc::default() }
    }

    /// Returns the next host that is ready, or the next one when none is. `targets` is not empty.
    pub(super) fn pick(&self) -> SocketAddr {
        let count = self.hosts.len();
        let first = self.next.get();
        self.next.set((first + 1) % count);
        let order = (0..count).map(|i| &self.hosts[(first + i) % count]);
        let ready = order.into_iter().find(|host| host.ready.get());
        ready.map_or(self.hosts[first % count].addr, |host| host.addr)
    }
}

async fn is_ready(pool: &ConnectionPool, addr: SocketAddr) -> bool {
    let call = Call {
        addr,
        method: Method::GET,
        path: "/readyz".into(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        timeout: TIMEOUT,
        reuse: true,
    };
    pool.fetch(call).await.is_ok_and(|(head, _)| head.status.is_success())
}
