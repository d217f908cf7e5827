use slog::{info, warn};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::settings::Settings;
use crate::state::HostState;

/// How often the settings file is compared with what was read last; it may change without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Reads the settings file again and puts in force what can change while the host runs: the seeds. Settings
/// that cannot be read change nothing.
pub(super) fn reload(state: &HostState, file: &Path, cause: &str) {
    match Settings::load(file) {
        Ok(cfg) => {
            let seeds = cfg.seeds.len();
            let changed = state.membership.get().is_some_and(|m| m.set_seeds(cfg.seeds));
            info!(state.log, "settings reloaded"; "cause" => cause, "seeds" => seeds,
                "seeds_changed" => changed);
        }
        Err(e) => warn!(state.log, "settings not reloaded"; "cause" => cause, "reason" => %e),
    }
}

/// Reloads the settings when the content of their file changes.
pub(super) fn watch_file(state: &Arc<HostState>, file: PathBuf) {
    let watched = state.clone();
    let watch = move || {
        let mut known = std::fs::read(&file).ok();
        loop {
            thread::sleep(POLL_INTERVAL);
            // A file that cannot be read now is looked at again later.
            let found = std::fs::read(&file).ok();
            if found.is_some() && found != known {
                known = found;
                reload(&watched, &file, "the file changed");
            }
        }
    };
    if let Err(e) = thread::Builder::new().name("settings".into()).spawn(watch) {
        warn!(state.log, "the settings file is not watched"; "reason" => %e);
    }
}
