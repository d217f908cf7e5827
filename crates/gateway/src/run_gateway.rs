use futures_util::future::FutureExt;
use std::io;
use std::rc::Rc;

use crate::control::{ControlHost, wake_subscribers};
use crate::entry::{subscribe_to_control_hosts, subscribe_to_local_table};
use crate::handle_events::handle_events;
use crate::listeners::start_listeners;
use crate::maintenance::run_maintenance;
use crate::stop_gateway::stop_gateway;
use crate::{Gateway, GatewayParts};

/// Runs a gateway until `stop` completes and its requests have ended.
///
/// # Errors
///
/// Returns the error of the operating system if an address cannot be bound.
pub async fn run_gateway(
    parts: GatewayParts,
    stop: impl Future<Output = ()> + 'static,
) -> io::Result<()> {
    let incarnation = parts.incarnation;
    let (gateway, store, events) = Gateway::new(parts);
    let gw = Rc::new(gateway);
    let control = gw.cfg.control_listen.map(|_| {
        let host = ControlHost::new(gw.now(), incarnation, gw.cfg.heartbeat, store);
        Rc::new(host)
    });
    let (close_tx, close_rx) = futures_channel::oneshot::channel::<()>();
    let closed = close_rx.map(|_| ()).boxed_local().shared();
    let counts = start_listeners(&gw, control.as_ref(), &closed)?;
    monoio::spawn(handle_events(gw.clone(), control.clone(), events));
    monoio::spawn(run_maintenance(gw.clone(), control.clone()));
    if let Some(control) = &control {
        monoio::spawn(subscribe_to_local_table(gw.clone(), control.clone()));
        monoio::spawn(wake_subscribers(gw.clone(), control.clone()));
    }
    monoio::spawn(subscribe_to_control_hosts(gw.clone()));
    stop.await;
    stop_gateway(&gw, control.as_deref(), close_tx, &counts).await;
    Ok(())
}
