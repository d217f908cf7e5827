use slog::info;
use std::rc::Rc;
use std::time::Duration;

use crate::Gateway;
use crate::control::ControlHost;
use crate::stages::pump_all;

/// How often endpoints that fell silent are looked for, and unused connections are closed.
const HOUSEKEEPING: Duration = Duration::from_millis(250);

/// Unused connections are closed after this time; endpoints do so after several seconds.
const IDLE_LIMIT: Duration = Duration::from_secs(4);

/// Closes unused connections and drops endpoints that fell silent, again and again.
pub(crate) async fn keep_house(gw: Rc<Gateway>, control: Option<Rc<ControlHost>>) {
    loop {
        monoio::time::sleep(HOUSEKEEPING).await;
        gw.pool.close_idle(IDLE_LIMIT);
        gw.metrics.connections.set(gw.pool.opened() as i64);
        if let Some(control) = &control {
            let silent = control.table.borrow_mut().expire(gw.now());
            for id in &silent {
                info!(gw.log, "endpoint fell silent"; "endpoint" => %id);
            }
            if !silent.is_empty() {
                control.changed.notify();
            }
        }
        let changed = gw.directory.borrow_mut().refresh(gw.now());
        if changed {
            note_endpoints(&gw);
        }
    }
}

/// Notes that the endpoints that take work have changed.
pub(crate) fn note_endpoints(gw: &Rc<Gateway>) {
    let ready = gw.directory.borrow().ready_count();
    gw.metrics.endpoints.set(ready as i64);
    info!(gw.log, "endpoints changed"; "ready" => ready);
    pump_all(gw);
}
