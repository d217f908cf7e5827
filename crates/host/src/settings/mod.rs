//! The settings of a host: read from one TOML file, checked once, with every error reported at once.

mod cross_check;
mod log_level;
mod parse_log_level_error;
mod read;
mod read_gateway;
mod settings_error;

pub use cross_check::cross_check;
pub use log_level::LogLevel;
pub use parse_log_level_error::ParseLogLevelError;
pub use settings_error::SettingsError;

use masticstair_core::bundle::Signer;
use masticstair_core::id::{DeploymentName, RegionId};
use masticstair_core::prelude::*;
use masticstair_core::toml_reader::read_document;
use masticstair_gateway::GatewayConfig;
use masticstair_net::http::server::ServerLimits;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Settings that passed every check.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The deployment; hosts of another one are refused as peers.
    pub deployment: DeploymentName,
    /// The name of this host; unique in the deployment.
    pub host: HostId,
    /// The region of this host.
    pub region: RegionId,
    /// The data centre of this host.
    pub data_centre: DataCentreId,
    /// Where callers, endpoints and operators reach this host.
    pub listen: SocketAddr,
    /// Where other hosts reach this host.
    pub peer_listen: SocketAddr,
    /// Where other hosts reach `peer_listen`, when that is another address: behind a port that is forwarded.
    pub peer_address: Option<SocketAddr>,
    /// Threads that serve callers; at least 1.
    pub workers: usize,
    /// Peer addresses of some other hosts, through which all are found.
    pub seeds: Vec<SocketAddr>,
    /// Where state that must survive is kept; only on hosts with a disk.
    pub data_folder: Option<PathBuf>,
    /// The hosts that form the first group of voters; at most 7.
    pub initial_voters: Vec<HostId>,
    /// Whose signatures count before a bundle names signers.
    pub operators: Vec<Signer>,
    /// Bounds on what callers may send.
    pub bounds: ServerLimits,
    /// How long the load balancer is given to see that the host leaves.
    pub drain_notice: Millis,
    /// The lowest level that is logged.
    pub log_level: LogLevel,
    /// Whether the hosts at `seeds` form the first group of voters, whatever their names are.
    pub form_from_seeds: bool,
    /// Hosts with a disk that may be lost at the same time without the loss of what was acknowledged.
    pub disk_losses: usize,
    /// How long a voter may be unreachable before another host replaces it.
    pub replace_voter_after: Millis,
    /// The gateway, on hosts that serve the routes of a catalog.
    pub gateway: Option<GatewayConfig>,
    /// How many of 100 requests without a sampled `traceparent` are traced.
    pub trace_percent: u8,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Names the file, and for each error the key, the value and what is allowed.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(path)
            .map_err(|source| SettingsError::Read { file: path.to_owned(), source })?;
        Self::parse(&text)
            .map_err(|errors| SettingsError::Invalid { file: path.to_owned(), errors })
    }

    /// Reads and checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// Every error found.
    pub fn parse(text: &str) -> Result<Self, masticstair_core::toml_reader::FieldErrors> {
        read_document(text, read::read_settings)
    }

    /// Returns what deserves a warning although it is allowed.
    pub fn warnings(&self) -> Vec<Box<str>> {
        let mut warnings = Vec::new();
        if !self.initial_voters.is_empty() && self.initial_voters.len().is_multiple_of(2) {
            let count = self.initial_voters.len();
            warnings.push(
                format!("initial_voters names {count} hosts: an odd number survives as many losses with fewer hosts")
                    .into(),
            );
        }
        if self.initial_voters.contains(&self.host) && self.data_folder.is_none() {
            warnings.push("this host is an initial voter, but data_folder is missing".into());
        }
        if self.operators.is_empty() {
            warnings.push("operators is empty: no first bundle can be signed off".into());
        }
        warnings
    }
}
