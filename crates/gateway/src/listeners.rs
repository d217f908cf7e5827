//! The listeners of a gateway and the bounds on what comes in.

use futures_util::future::{FutureExt, LocalBoxFuture, Shared};
use masticstair_core::prelude::*;
use masticstair_net::http::server::{ConnectionCount, Handler, ServerLimits, bind, serve};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use crate::Gateway;
use crate::control::{ControlHost, answer_control};
use crate::entry::{answer_ready, answer_request};

/// The largest head of a request to a control host, in bytes.
const CONTROL_HEAD: u64 = 65_536;

/// The largest catalog, in bytes; a command of the log has at most 17 MiB.
const CONTROL_BODY: u64 = 16 << 20;

/// Connections that a gateway takes.
const CONNECTIONS: Slots = Slots::new(3_000);

/// Requests on one connection; clients keep connections for as long as they like.
const REQUESTS_PER_CONNECTION: Slots = Slots::new(u32::MAX);

/// Completes when the listeners close.
pub(crate) type Closed = Shared<LocalBoxFuture<'static, ()>>;

/// Starts the listeners that the settings name.
pub(crate) fn start_listeners(
    gw: &Rc<Gateway>,
    control: Option<&Rc<ControlHost>>,
    closed: &Closed,
) -> io::Result<()> {
    if let Some(addr) = gw.cfg.listen {
        let entry = gw.clone();
        let handler: Handler = Rc::new(move |req| answer_request(entry.clone(), req).boxed_local());
        listen(addr, client_limits(), handler, closed)?;
    }
    if let Some(addr) = gw.cfg.ready_listen.filter(|addr| gw.cfg.listen != Some(*addr)) {
        let entry = gw.clone();
        let handler: Handler =
            Rc::new(move |req| std::future::ready(answer_ready(&entry, &req)).boxed_local());
        listen(addr, client_limits(), handler, closed)?;
    }
    if let (Some(addr), Some(control)) = (gw.cfg.control_listen, control) {
        let (gw, control) = (gw.clone(), control.clone());
        let handler: Handler =
            Rc::new(move |req| answer_control(gw.clone(), control.clone(), req).boxed_local());
        listen(addr, control_limits(), handler, closed)?;
    }
    Ok(())
}

fn listen(
    addr: SocketAddr,
    limits: ServerLimits,
    handler: Handler,
    closed: &Closed,
) -> io::Result<()> {
    let listener = bind(addr)?;
    let serving = serve(listener, limits, ConnectionCount::default(), handler, closed.clone());
    monoio::spawn(serving);
    Ok(())
}

/// Bounds on clients: the usual ones of a catalog. Those of the catalog in force are not applied.
fn client_limits() -> ServerLimits {
    let limits = masticstair_core::catalog::ClientLimits::default();
    ServerLimits {
        head: limits.head,
        // The time for a head begins when the connection is idle.
        head_timeout: limits.idle,
        body: limits.body,
        large: None,
        body_timeout: limits.idle,
        requests_per_connection: REQUESTS_PER_CONNECTION,
        connections: CONNECTIONS,
    }
}

fn control_limits() -> ServerLimits {
    ServerLimits { head: CONTROL_HEAD.into(), body: CONTROL_BODY.into(), ..client_limits() }
}
