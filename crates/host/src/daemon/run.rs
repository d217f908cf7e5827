use masticstair_gateway::event_channel;
use masticstair_gateway::front_end::FrontEnd;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use slog::{info, warn};
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::Instant;

use super::reload::{reload, watch_file};
use super::{RunError, start_gateway, start_workers};
use crate::control::start_control;
use crate::settings::Settings;
use crate::state::HostState;
use crate::telemetry::json_logger;

/// Runs a host until `SIGTERM` or `SIGINT`, then completes the requests in flight and returns. `SIGHUP`
/// reloads the settings file.
///
/// # Errors
///
/// Fails if the host cannot start.
pub fn run(file: PathBuf, cfg: Settings, front_end: FrontEnd) -> Result<(), RunError> {
    let mut signals = Signals::new([SIGHUP, SIGINT, SIGTERM])?;
    let level = cfg.log_level.slog();
    let (log, _guard) = json_logger(io::stdout(), level, &cfg.host, &cfg.data_centre);
    for warning in cfg.warnings() {
        warn!(log, "settings"; "warning" => warning.as_ref());
    }
    let state = Arc::new(HostState::new(cfg, log.clone()));
    let events = state.cfg.gateway.as_ref().map(|_| {
        let (tx, rx) = event_channel();
        // Setting fails only if already set; a host starts its gateway once.
        let _ = state.gateway.set(tx);
        rx
    });
    let control = start_control(&state)?;
    let gateway = match events {
        Some(events) => Some(start_gateway(&state, front_end, events)?),
        None => None,
    };
    let workers = start_workers(&state)?;
    info!(log, "started"; "listen" => workers.addr.to_string(),
        "peer_listen" => control.peer_addr.to_string(), "workers" => state.cfg.workers);
    watch_file(&state, file.clone());
    let mut shutdown_signal = None;
    for signal in signals.forever() {
        if signal != SIGHUP {
            shutdown_signal = Some(signal);
            break;
        }
        reload(&state, &file, "SIGHUP");
    }
    info!(log, "shutting down; completing requests in flight";
        "signal" => shutdown_signal, "in_flight" => state.drain.in_flight());
    let watched = state.clone();
    thread::spawn(move || {
        for signal in signals.forever().filter(|signal| *signal != SIGHUP) {
            let in_flight = watched.drain.in_flight();
            warn!(watched.log, "ignoring a signal; the shutdown is already in progress";
                "signal" => signal, "would_cut" => in_flight);
        }
    });
    state.drain.leave();
    let drain_started = Instant::now();
    if let Some(gateway) = gateway {
        gateway.stop();
    }
    thread::sleep(state.cfg.drain_notice.duration());
    state.drain.close();
    workers.stop();
    control.stop();
    info!(log, "stopped"; "drain_ms" => drain_started.elapsed().as_millis() as u64);
    Ok(())
}
