//! Starts a host of the demo: the only voter of its deployment, with the bundle signed off and rolled.

use masticstair_core::id::{CommandId, DeploymentName};
use masticstair_core::prelude::*;
use masticstair_host::control::{ControlThread, start_control};
use masticstair_host::daemon::{Workers, start_workers};
use masticstair_host::settings::Settings;
use masticstair_host::state::HostState;
use masticstair_policy::bundle_history::{BundleAction, BundleReply};
use masticstair_store::state::{Command, Reply};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tempfile::TempDir;

use super::DemoError;
use super::deployment::Deployment;
use crate::operator::{OperatorKey, sign_command};

/// How long the only voter may take to lead and to answer a command.
const COMMAND_LIMIT: Duration = Duration::from_secs(5);

/// The key that the example bundles list; everybody knows it.
const EXAMPLE_KEY: &str = include_str!("../../../../examples/operator.key");
const EXAMPLE_KEY_FILE: &str = "examples/operator.key";

/// A running host.
pub(crate) struct DemoHost {
    pub(crate) state: Arc<HostState>,
    pub(crate) workers: Workers,
    pub(crate) control: ControlThread,
    key: OperatorKey,
    /// Removed when the host is dropped.
    _folder: TempDir,
}

impl DemoHost {
    pub(super) fn start(deployment: &Deployment) -> Result<Self, DemoError> {
        Self::start_with(|folder, key| settings_text(deployment, folder, key))
    }

    /// Starts a host with the settings that `settings` writes for a data folder and an operator.
    pub(crate) fn start_with(
        settings: impl FnOnce(&TempDir, &OperatorKey) -> String,
    ) -> Result<Self, DemoError> {
        let folder = tempfile::tempdir()?;
        let key = OperatorKey::parse(EXAMPLE_KEY, Path::new(EXAMPLE_KEY_FILE))?;
        let text = settings(&folder, &key);
        let cfg = Settings::parse(&text).map_err(DemoError::Settings)?;
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let state = Arc::new(HostState::new(cfg, log));
        let control = start_control(&state)?;
        let workers = start_workers(&state)?;
        Ok(Self { state, workers, control, key, _folder: folder })
    }

    /// Submits the bundle, signs it off and rolls it, as operators do.
    pub(crate) async fn roll_bundle(&self, content: &str) -> Result<(), DemoError> {
        let digest = Sha256Digest::of(content.as_bytes());
        let actions = [
            ("submit", BundleAction::Submit(content.into())),
            ("sign-off", BundleAction::SignOff(digest)),
            ("roll", BundleAction::Roll(digest)),
        ];
        for (id, action) in actions {
            self.command(id, action).await?;
        }
        Ok(())
    }

    pub(crate) fn stop(self) {
        self.state.drain.close();
        self.workers.stop();
        self.control.stop();
    }

    async fn command(&self, id: &str, action: BundleAction) -> Result<(), DemoError> {
        let refused = |reason: String| DemoError::Bundle(reason.into());
        let id: CommandId = id.parse().map_err(|e| refused(format!("{e}")))?;
        let deployment: &DeploymentName = &self.state.cfg.deployment;
        let command = sign_command(&self.key, deployment, id, Revision::default(), action);
        let control = self.state.control.get().ok_or(DemoError::Panicked)?;
        let reply = control.propose(&Command::Bundle(Box::new(command)), COMMAND_LIMIT).await;
        match reply {
            Ok(Reply::Bundle(BundleReply::Refused(refusal))) => Err(refused(refusal.to_string())),
            Ok(_) => Ok(()),
            Err(e) => Err(refused(e.to_string())),
        }
    }
}

fn settings_text(deployment: &Deployment, folder: &TempDir, key: &OperatorKey) -> String {
    let Deployment { name, region, .. } = deployment;
    format!(
        "deployment = \"{name}\"\nhost = \"{name}-demo\"\nregion = \"{region}\"\n\
         data_centre = \"{region}-1\"\nlisten = \"127.0.0.1:0\"\npeer_listen = \"127.0.0.1:0\"\n\
         initial_voters = [\"{name}-demo\"]\ndata_folder = {:?}\n\
         [[operators]]\nname = \"{}\"\nkey = \"{}\"\nmay = [\"submit\", \"sign-off\", \"roll\"]\n",
        folder.path().display().to_string(),
        key.signer,
        key.public(),
    )
}
