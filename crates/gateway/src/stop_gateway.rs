use futures_channel::oneshot;
use slog::info;
use std::rc::Rc;
use std::time::Duration;

use crate::Gateway;
use crate::control::ControlHost;
use crate::stages::hand_over_stages;

/// How long the load balancer takes to detect that this host accepts no more clients: two probes at an
/// interval of a second, and the transit time.
const DRAIN_NOTICE: Duration = Duration::from_millis(2_500);

/// Reserved at the end of the grace period for the process to exit.
const GRACE_MARGIN: Duration = Duration::from_millis(300);

/// Fails the readiness probe, so that the load balancer sends no more clients, and drains the requests in
/// progress.
pub(crate) async fn stop_gateway(
    gw: &Rc<Gateway>,
    control: Option<&ControlHost>,
    close: oneshot::Sender<()>,
) {
    gw.begin_stop();
    let grace = gw.cfg.grace.duration().saturating_sub(GRACE_MARGIN);
    let until = gw.now().plus(grace);
    info!(gw.log, "gateway stopping; draining requests"; "in_flight" => gw.in_flight.get());
    if let Some(control) = control {
        control.changed.notify();
    }
    hand_over_stages(gw);
    if gw.cfg.listen.is_some() {
        monoio::time::sleep(DRAIN_NOTICE.min(grace)).await;
    }
    // The receiver is gone if the listeners have closed already.
    let _ = close.send(());
    while (gw.in_flight.get() > 0 || gw.stages.is_busy()) && gw.now() < until {
        monoio::time::sleep(Duration::from_millis(20)).await;
    }
    // Time to send the last answers.
    monoio::time::sleep(Duration::from_millis(50)).await;
    info!(gw.log, "gateway stopped"; "cut" => gw.in_flight.get());
}
