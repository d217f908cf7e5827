//! The settings of a host: read from one TOML file and checked once, with all errors reported together.

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
use masticstair_policy::memory_account::MemoryBounds;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The settings of a host; each value has passed its checks.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of the deployment; hosts of another one are refused as peers.
    pub deployment: DeploymentName,
    /// The name of this host; unique in the deployment.
    pub host: HostId,
    /// The region of this host.
    pub region: RegionId,
    /// The data centre of this host.
    pub data_centre: DataCentreId,
    /// The address to listen on for callers, endpoints and operators.
    pub listen: SocketAddr,
    /// The address to listen on for other hosts.
    pub peer_listen: SocketAddr,
    /// The address at which other hosts reach `peer_listen`; `None` if it is the same. It differs behind a
    /// forwarded port.
    pub peer_address: Option<SocketAddr>,
    /// The number of threads that serve callers; 1 to 256.
    pub workers: usize,
    /// Peer addresses of some hosts, through which this host discovers all others.
    pub seeds: Vec<SocketAddr>,
    /// The folder of the replicated log; `None` on hosts without a persistent disk, which hold no replica.
    pub data_folder: Option<PathBuf>,
    /// The hosts that form the first group of voters; at most 7. Ignored at the formation if
    /// `form_from_seeds` is set.
    pub initial_voters: Vec<HostId>,
    /// The signers that are trusted until a bundle lists its own.
    pub operators: Vec<Signer>,
    /// Bounds on connections and on what callers may send.
    pub bounds: ServerLimits,
    /// The most memory for what clients make the process hold; `None` if it follows from the machine's.
    pub request_memory: Option<ByteCount>,
    /// The descriptors that the process may open.
    pub descriptors: Slots,
    /// How long a leaving host still accepts requests, so that the load balancer notices in time.
    pub drain_notice: Millis,
    /// The lowest level that is logged.
    pub log_level: LogLevel,
    /// Whether the hosts at `seeds` form the first group of voters, whatever their names are.
    pub form_from_seeds: bool,
    /// The number of hosts with a disk that may be lost at the same time without losing acknowledged data; 0
    /// to 3. The group grows to twice this number plus one voters.
    pub disk_losses: usize,
    /// How long a voter may be unreachable before another host replaces it.
    pub replace_voter_after: Millis,
    /// The gateway, which serves the routes of a catalog; `None` on hosts without one.
    pub gateway: Option<GatewayConfig>,
    /// The percentage of requests without a sampled `traceparent` that are traced; 0 to 100.
    pub trace_percent: u8,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// The error names the file and, for each invalid value, the key, the value and what is allowed.
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
    /// Returns all errors in the text, not only the first.
    pub fn parse(text: &str) -> Result<Self, masticstair_core::toml_reader::FieldErrors> {
        read_document(text, read::read_settings)
    }

    /// Returns the bounds of what clients make the process hold.
    pub fn request_memory(&self) -> MemoryBounds {
        let machine = self.gateway.as_ref().and_then(|gateway| gateway.memory);
        match (self.request_memory, machine) {
            (Some(total), _) => MemoryBounds::new(total),
            (None, Some(memory)) => MemoryBounds::of_machine(memory),
            (None, None) => MemoryBounds::default(),
        }
    }

    /// Returns a warning for each setting that is allowed but probably a mistake.
    pub fn warnings(&self) -> Vec<Box<str>> {
        let mut warnings = Vec::new();
        if !self.initial_voters.is_empty() && self.initial_voters.len().is_multiple_of(2) {
            let count = self.initial_voters.len();
            warnings.push(
                format!(
                    "initial_voters names an even number of hosts ({count}): one host fewer tolerates as \
                     many losses"
                )
                .into(),
            );
        }
        if self.initial_voters.contains(&self.host) && self.data_folder.is_none() {
            warnings.push("this host is an initial voter, but data_folder is missing".into());
        }
        if self.operators.is_empty() {
            warnings.push("operators is empty: no first bundle can be signed off".into());
        }
        let machine = self.gateway.as_ref().and_then(|gateway| gateway.memory);
        if let (Some(total), Some(machine)) = (self.request_memory, machine)
            && total.get() > machine.get() / 2
        {
            warnings.push(
                format!("request_memory_mb is {total} bytes, more than half of the {machine} bytes of the machine")
                .into(),
            );
        }
        let largest = self.request_memory().large_requests();
        let body = self.bounds.body;
        if body > largest {
            warnings.push(
                format!(
                    "bounds.body_bytes is {body}, but the memory for requests allows bodies of {largest} bytes"
                )
                .into(),
            );
        }
        warnings
    }
}
