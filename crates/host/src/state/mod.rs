//! State that the threads of a host share.

mod bundle_in_force;
mod clock;
mod drain;
mod endpoint_directory;

pub use bundle_in_force::{BundleInForce, InForce};
pub use clock::Clock;
pub use drain::{Drain, InFlight};
pub use endpoint_directory::{AnnounceError, DirectoryEntry, ENDPOINT_LEASE, EndpointDirectory};

use masticstair_net::http::server::ConnectionCount;
use slog::Logger;

use crate::settings::Settings;
use crate::telemetry::Metrics;
use crate::traffic::Traffic;

/// What the threads of a host share.
pub struct HostState {
    /// The settings.
    pub cfg: Settings,
    /// The logger.
    pub log: Logger,
    /// The clock.
    pub clock: Clock,
    /// The metrics.
    pub metrics: Metrics,
    /// The bundle in force.
    pub in_force: InForce,
    /// The endpoints that are known.
    pub endpoints: EndpointDirectory,
    /// What the host observes of its traffic.
    pub traffic: Traffic,
    /// Requests in flight and whether the host leaves.
    pub drain: Drain,
    /// Open connections.
    pub connections: ConnectionCount,
}

impl HostState {
    /// Makes the state of a host that has just started.
    pub fn new(cfg: Settings, log: Logger) -> Self {
        let clock = Clock::start();
        Self {
            cfg,
            log,
            clock,
            traffic: Traffic::new(clock),
            metrics: Metrics::default(),
            in_force: InForce::default(),
            endpoints: EndpointDirectory::default(),
            drain: Drain::default(),
            connections: ConnectionCount::default(),
        }
    }
}
