use monoio::time::Instant;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;

use super::ClientLimits;
use super::connection::Connection;

pub(super) struct PoolInner {
    pub(super) limits: ClientLimits,
    /// Idle connections by endpoint, most recently used last.
    pub(super) idle: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
}

impl PoolInner {
    /// Takes a connection that can be used again. Those with bytes after the end of a response are closed, because the
    /// next request would get them as its response.
    pub(super) fn take_idle(&self, addr: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&addr)?;
        let limit = self.limits.idle_timeout.duration();
        connections.retain(|c| c.last_response.elapsed() < limit);
        std::iter::from_fn(|| connections.pop()).find_map(|mut c| c.is_idle().then_some(c))
    }

    pub(super) fn put_idle(&self, mut connection: Connection) {
        connection.last_response = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(connection.addr).or_default();
        if connections.len() < self.limits.idle_per_endpoint {
            connections.push(connection);
        }
    }

    pub(super) fn evict(&self, addr: SocketAddr) {
        self.idle.borrow_mut().remove(&addr);
    }
}
