use slog::{info, warn};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::settings::Settings;
use crate::state::HostState;

/// Interval between two checks of the settings file, which may change without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Reads the settings file again and applies the settings that can change at run time, which are the seeds.
/// Invalid settings change nothing.
pub(super) fn reload(state: &HostState, file: &Path, cause: &str) {
    match Settings::load(file) {
        Ok(cfg) => {
            let seeds = cfg.seeds.len();
            let changed = state.membership.get().is_some_and(|m| m.set_seeds(cfg.seeds));
            info!(state.log, "settings reloaded"; "cause" => cause, "seeds" => seeds,
                "seeds_changed" => changed);
        }
        Err(e) => {
            warn!(state.log, "cannot reload the settings; keeping the previous ones";
                "cause" => cause, "reason" => %e)
        }
    }
}

/// Starts a thread that reloads the settings when the content of their file changes.
pub(super) fn watch_file(state: &Arc<HostState>, file: PathBuf) {
    let watched = state.clone();
    let watch = move || {
        let mut known = std::fs::read(&file).ok();
        loop {
            thread::sleep(POLL_INTERVAL);
            // A file that cannot be read is checked again after the next interval.
            let found = std::fs::read(&file).ok();
            if found.is_some() && found != known {
                known = found;
                reload(&watched, &file, "the file changed");
            }
        }
    };
    if let Err(e) = thread::Builder::new().name("settings".into()).spawn(watch) {
        warn!(state.log, "cannot watch the settings file; it is reloaded on SIGHUP only"; "reason" => %e);
    }
}
