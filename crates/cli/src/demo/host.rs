//! Starts a host of the demo.

use masticstair_core::bundle::Bundle;
use masticstair_core::prelude::*;
use masticstair_host::daemon::{Workers, start_workers};
use masticstair_host::settings::Settings;
use masticstair_host::state::{BundleInForce, HostState};
use std::sync::Arc;

use super::DemoError;
use super::deployment::Deployment;

/// A running host.
pub(super) struct DemoHost {
    pub(super) state: Arc<HostState>,
    pub(super) workers: Workers,
}

pub(super) fn start_host(deployment: &Deployment, bundle: Bundle) -> Result<DemoHost, DemoError> {
    let cfg = Settings::parse(&settings_text(deployment)).map_err(DemoError::Settings)?;
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let state = Arc::new(HostState::new(cfg, log));
    state.in_force.advance(BundleInForce { revision: Revision::new(1), bundle });
    let workers = start_workers(&state)?;
    Ok(DemoHost { state, workers })
}

fn settings_text(deployment: &Deployment) -> String {
    let Deployment { name, region, .. } = deployment;
    format!(
        "deployment = \"{name}\"\nhost = \"{name}-demo\"\nregion = \"{region}\"\n\
         data_centre = \"{region}-1\"\nlisten = \"127.0.0.1:0\"\npeer_listen = \"127.0.0.1:0\"\n"
    )
}
