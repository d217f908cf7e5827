use slog::info;
use std::rc::Rc;
use std::time::Duration;

use crate::Gateway;
use crate::control::ControlHost;
use crate::stages::dispatch_all;

/// How often endpoints that fell silent are looked for, and unused connections are closed.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);

/// Unused connections are closed after this time; endpoints do so after several seconds.
const CONNECTION_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Closes unused connections and drops endpoints that fell silent, again and again.
pub(crate) async fn run_maintenance(gw: Rc<Gateway>, control: Option<Rc<ControlHost>>) {
    loop {
        monoio::time::sleep(MAINTENANCE_INTERVAL).await;
        gw.pool.close_idle(CONNECTION_IDLE_TIMEOUT);
        gw.metrics.connections.set(gw.pool.opened() as i64);
        if let Some(control) = &control {
            let expired = control.table.borrow_mut().expire(gw.now());
            for id in &expired {
                info!(gw.log, "endpoint fell silent"; "endpoint" => %id);
            }
            if !expired.is_empty() {
                control.changed.notify();
            }
        }
        let changed = gw.directory.borrow_mut().refresh(gw.now());
        if changed {
            on_endpoints_changed(&gw);
        }
    }
}

/// Notes that the endpoints that take work have changed.
pub(crate) fn on_endpoints_changed(gw: &Rc<Gateway>) {
    let ready = gw.directory.borrow().ready_count();
    gw.metrics.endpoints.set(ready as i64);
    info!(gw.log, "endpoints changed"; "ready" => ready);
    dispatch_all(gw);
}
