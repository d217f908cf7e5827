use futures_channel::oneshot;
use masticstair_net::http::server::ConnectionCount;
use masticstair_policy::planned_stop::PlannedStop;
use slog::info;
use std::rc::Rc;
use std::time::Duration;

use crate::Gateway;
use crate::control::ControlHost;
use crate::stages::hand_over_stages;

/// Reserved at the end of the grace period for the process to exit.
const GRACE_MARGIN: Duration = Duration::from_millis(300);

/// How long a connection may be without the head of its first request after the listeners have closed.
const UNUSED_CONNECTION_TIMEOUT: Duration = Duration::from_millis(700);

/// Fails the readiness probe, so that the load balancer sends no more clients, and drains the requests in
/// progress.
pub(crate) async fn stop_gateway(
    gw: &Rc<Gateway>,
    control: Option<&ControlHost>,
    close: oneshot::Sender<()>,
    counts: &[ConnectionCount],
) {
    let grace = gw.cfg.grace.duration().saturating_sub(GRACE_MARGIN);
    let begun = gw.now();
    let until = begun.plus(grace);
    gw.planned_stop.set(Some(PlannedStop { begun, ends: until }));
    info!(gw.log, "gateway stopping; draining requests"; "in_flight" => gw.in_flight.get());
    if let Some(control) = control {
        control.changed.notify();
    }
    hand_over_stages(gw);
    if gw.cfg.listen.is_some() {
        monoio::time::sleep(PlannedStop::NOTICE.min(grace)).await;
    }
    // The receiver is gone if the listeners have closed already.
    let _ = close.send(());
    let unused_until = gw.now().plus(UNUSED_CONNECTION_TIMEOUT);
    let is_busy = |now| {
        let is_open = |count: &ConnectionCount| {
            count.used().get() > 0 || (now < unused_until && count.open().get() > 0)
        };
        gw.in_flight.get() > 0 || gw.stages.is_busy() || counts.iter().any(is_open)
    };
    while is_busy(gw.now()) && gw.now() < until {
        monoio::time::sleep(Duration::from_millis(20)).await;
    }
    let cut = gw.in_flight.get();
    gw.stop_ended.notify();
    // Time to send the last answers.
    monoio::time::sleep(Duration::from_millis(50)).await;
    info!(gw.log, "gateway stopped"; "cut" => cut);
}
