use masticstair_core::unit::Timestamp;
use slog::info;
use std::rc::Rc;
use std::time::Duration;

use crate::Gateway;
use crate::control::ControlHost;
use crate::stages::dispatch_all;
use crate::telemetry::RefusalLog;

/// How often endpoints are checked for missed heartbeats and connections for idleness.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);

/// How often the versions of the listed endpoints are recorded.
const RECORD_INTERVAL: Duration = Duration::from_secs(1);

/// Less than the idle timeout of endpoints, which is several seconds.
const CONNECTION_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Closes idle connections and removes expired endpoints periodically.
pub(crate) async fn run_maintenance(gw: Rc<Gateway>, control: Option<Rc<ControlHost>>) {
    let mut recorded = Timestamp::default();
    let mut refusals = RefusalLog::default();
    loop {
        monoio::time::sleep(MAINTENANCE_INTERVAL).await;
        let mut pause_watch = gw.pause_watch.get();
        pause_watch.record_run(gw.now());
        gw.pause_watch.set(pause_watch);
        if gw.now().since(recorded) >= RECORD_INTERVAL {
            recorded = gw.now();
            gw.software.borrow_mut().record(recorded, gw.directory.borrow().listed());
        }
        let (answering, silent) = gw.control_contacts();
        gw.software.borrow_mut().record_contact(gw.now(), silent.is_empty());
        gw.pool.close_idle(CONNECTION_IDLE_TIMEOUT);
        gw.release_pool.close_idle(CONNECTION_IDLE_TIMEOUT);
        gw.limits.borrow_mut().expire(gw.now());
        gw.pauses.borrow_mut().expire(gw.now());
        gw.maintain_warmups();
        gw.liveness.borrow_mut().expire(gw.now());
        gw.streams.borrow_mut().expire(gw.now());
        gw.metrics.stream_records.set(gw.streams.borrow().len() as i64);
        gw.change_request_crashes(|table, now| table.expire(now));
        gw.metrics.paused_endpoints.set(gw.pauses.borrow().paused(gw.now()).count() as i64);
        gw.metrics.control_contacts.set(answering.len() as i64);
        let memory = gw.memory.counts();
        gw.metrics.record_memory(&memory);
        refusals.record(&gw.log, gw.now(), &memory);
        let opened = gw.pool.connections_opened() + gw.release_pool.connections_opened();
        gw.metrics.connections.set(opened as i64);
        if let Some(control) = &control {
            let expired = control.table.borrow_mut().expire(gw.now());
            for id in &expired {
                info!(gw.log, "endpoint expired after missed heartbeats"; "endpoint" => %id);
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

/// Publishes a change of the endpoints that take work, and dispatches the waiting stages to them.
pub(crate) fn on_endpoints_changed(gw: &Rc<Gateway>) {
    let ready = gw.directory.borrow().ready_count();
    gw.metrics.endpoints.set(ready as i64);
    info!(gw.log, "set of ready endpoints changed"; "ready" => ready);
    dispatch_all(gw);
}
