use futures_channel::oneshot;
use slog::info;
use std::rc::Rc;
use std::time::Duration;

use crate::Gateway;
use crate::control::ControlHost;
use crate::stages::hand_over_stages;

/// How long the load balancer takes to see that this host takes no more clients: two probes of a second
/// each, and the way.
const DRAIN_NOTICE: Duration = Duration::from_millis(2_500);

/// The time that is kept at the end of the grace for the process itself.
const GRACE_MARGIN: Duration = Duration::from_millis(300);

/// Tells the load balancer to send no more clients, and lets the requests in progress end.
pub(crate) async fn stop_gateway(
    gw: &Rc<Gateway>,
    control: Option<&ControlHost>,
    close: oneshot::Sender<()>,
) {
    gw.begin_stop();
    let grace = gw.cfg.grace.duration().saturating_sub(GRACE_MARGIN);
    let until = gw.now().plus(grace);
    info!(gw.log, "gateway stops"; "in_flight" => gw.in_flight.get());
    if let Some(control) = control {
        control.changed.notify();
    }
    hand_over_stages(gw);
    if gw.cfg.listen.is_some() {
        monoio::time::sleep(DRAIN_NOTICE.min(grace)).await;
    }
    // The listeners are there as long as the receiver is.
    let _ = close.send(());
    while (gw.in_flight.get() > 0 || gw.stages.is_busy()) && gw.now() < until {
        monoio::time::sleep(Duration::from_millis(20)).await;
    }
    // The last answers leave.
    monoio::time::sleep(Duration::from_millis(50)).await;
    info!(gw.log, "gateway stopped"; "cut" => gw.in_flight.get());
}
