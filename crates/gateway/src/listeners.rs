//! The listeners of a gateway and the limits on incoming requests.

use futures_util::future::{FutureExt, LocalBoxFuture, Shared};
use masticstair_core::catalog::ClientLimits;
use masticstair_core::prelude::*;
use masticstair_net::http::server::{ConnectionCount, Handler, ServerLimits, bind, serve_within};
use masticstair_policy::memory_account::{ListenerShare, connection_limit};
use smallvec::SmallVec;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use crate::Gateway;
use crate::control::{ControlHost, answer_control};
use crate::entry::{answer_ready, answer_request};

const MAX_CONTROL_HEAD_BYTES: u64 = 65_536;

/// Limits the size of a catalog; a command of the log has at most 17 MiB.
const MAX_CONTROL_BODY_BYTES: u64 = 16 << 20;

/// The smallest head limit that the HTTP library accepts.
const MIN_HEAD_LIMIT: ByteCount = ByteCount::new(8_192);

/// The most connections of a listener, if there are descriptors for them.
const MAX_CONNECTIONS: Slots = Slots::new(3_000);

/// Unlimited: clients may keep connections open as long as they like.
const MAX_REQUESTS_PER_CONNECTION: Slots = Slots::new(u32::MAX);

/// The connections of each listener.
pub(crate) type ListenerCounts = SmallVec<[ConnectionCount; 3]>;

/// Completes when the listeners are to close.
pub(crate) type Closed = Shared<LocalBoxFuture<'static, ()>>;

/// Starts the configured listeners and returns the counts of their connections.
pub(crate) fn start_listeners(
    gw: &Rc<Gateway>,
    control: Option<&Rc<ControlHost>>,
    closed: &Closed,
) -> io::Result<ListenerCounts> {
    let mut counts = ListenerCounts::new();
    if let Some(addr) = gw.cfg.listen {
        let entry = gw.clone();
        let handler: Handler = Rc::new(move |req| answer_request(entry.clone(), req).boxed_local());
        let entry = gw.clone();
        let limits = move || client_limits(&entry);
        counts.push(listen(gw, addr, ListenerShare::CLIENTS, limits, handler, closed)?);
    }
    if let Some(addr) = gw.cfg.ready_listen.filter(|addr| gw.cfg.listen != Some(*addr)) {
        let entry = gw.clone();
        let handler: Handler =
            Rc::new(move |req| std::future::ready(answer_ready(&entry, &req)).boxed_local());
        counts.push(listen(gw, addr, ListenerShare::OTHER, default_limits, handler, closed)?);
    }
    if let (Some(addr), Some(control)) = (gw.cfg.control_listen, control) {
        let (gateway, control) = (gw.clone(), control.clone());
        let handler: Handler =
            Rc::new(move |req| answer_control(gateway.clone(), control.clone(), req).boxed_local());
        counts.push(listen(gw, addr, ListenerShare::CONTROL, control_limits, handler, closed)?);
    }
    Ok(counts)
}

fn listen(
    gw: &Gateway,
    addr: SocketAddr,
    share: ListenerShare,
    limits: impl Fn() -> ServerLimits + 'static,
    handler: Handler,
    closed: &Closed,
) -> io::Result<ConnectionCount> {
    let listener = bind(addr)?;
    let count = ConnectionCount::default();
    let connections = connection_limit(gw.descriptors, share).min(MAX_CONNECTIONS);
    let limits = move || ServerLimits { connections, ..limits() };
    let (memory, closed) = (gw.memory.clone(), closed.clone());
    monoio::spawn(serve_within(listener, limits, count.clone(), memory, handler, closed));
    Ok(count)
}

/// Limits on clients, from the catalog in force.
fn client_limits(gw: &Gateway) -> ServerLimits {
    server_limits(gw.catalog.get().map(|catalog| catalog.limits).unwrap_or_default())
}

/// Limits that don't depend on the catalog.
fn default_limits() -> ServerLimits {
    server_limits(ClientLimits::default())
}

/// Limits on endpoints and operators. They don't depend on the catalog, so that no catalog can block its
/// replacement.
fn control_limits() -> ServerLimits {
    ServerLimits {
        head: MAX_CONTROL_HEAD_BYTES.into(),
        body: MAX_CONTROL_BODY_BYTES.into(),
        ..default_limits()
    }
}

fn server_limits(limits: ClientLimits) -> ServerLimits {
    ServerLimits {
        head: limits.head.max(MIN_HEAD_LIMIT),
        // The timeout for a head starts while the connection is idle.
        head_timeout: limits.idle_timeout.max(limits.head_timeout),
        body: limits.body,
        large_body: None,
        body_timeout: limits.idle_timeout.max(limits.head_timeout),
        requests_per_connection: MAX_REQUESTS_PER_CONNECTION,
        connections: MAX_CONNECTIONS,
    }
}
