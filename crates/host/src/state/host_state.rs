use futures_channel::mpsc::UnboundedSender;
use masticstair_core::id::ModelName;
use masticstair_core::prelude::*;
use masticstair_gateway::GatewayEvent;
use masticstair_net::http::server::ConnectionCount;
use masticstair_policy::endpoint_table::EndpointView;
use slog::Logger;
use std::sync::{Arc, OnceLock};

use super::behind_since::BehindSince;
use super::{Clock, CurrentBundle, Drain};
use crate::control::ControlHandle;
use crate::membership::Membership;
use crate::settings::Settings;
use crate::telemetry::Metrics;
use crate::traffic::Traffic;

/// What the threads of a host share.
pub struct HostState {
    /// The settings.
    pub cfg: Settings,
    /// The logger.
    pub log: Logger,
    /// The life of this process.
    pub incarnation: Incarnation,
    /// The clock.
    pub clock: Clock,
    /// The metrics.
    pub metrics: Metrics,
    /// The bundle in force.
    pub in_force: CurrentBundle,
    pub(super) behind_since: BehindSince,
    /// What the host observes of its traffic.
    pub traffic: Traffic,
    /// The way to the replicated log, once the control thread runs.
    pub control: OnceLock<ControlHandle>,
    /// What is known of the other hosts, once the control thread runs.
    pub membership: OnceLock<Arc<Membership>>,
    /// The way to the thread of the gateway, on hosts that have one.
    pub gateway: OnceLock<UnboundedSender<GatewayEvent>>,
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
            incarnation: Incarnation::new(clock.wall().get()),
            clock,
            behind_since: BehindSince::default(),
            traffic: Traffic::new(clock),
            metrics: Metrics::default(),
            in_force: CurrentBundle::default(),
            control: OnceLock::new(),
            membership: OnceLock::new(),
            gateway: OnceLock::new(),
            drain: Drain::default(),
            connections: ConnectionCount::default(),
        }
    }

    /// Tells the gateway something, on hosts that have one.
    pub fn notify_gateway(&self, event: GatewayEvent) {
        if let Some(gateway) = self.gateway.get() {
            // A gateway that has ended needs no word.
            let _ = gateway.unbounded_send(event);
        }
    }

    /// Tells whether a process is known to have ended: its host is gone or has a later life.
    pub fn has_process_ended(&self, host: &HostId, incarnation: Incarnation) -> bool {
        let Some(membership) = self.membership.get() else { return false };
        !membership.snapshot().is_live(host, incarnation)
    }

    /// Returns the endpoints of a pool that take new work and, for a stage with a model, hold it.
    pub fn candidates(&self, pool: &PoolName, model: Option<&ModelName>) -> Vec<EndpointView> {
        let Some(membership) = self.membership.get() else { return Vec::new() };
        let snapshot = membership.snapshot();
        let serves = |view: &&EndpointView| {
            let holds = |m: &ModelName| view.record.models.iter().any(|loaded| loaded.name == *m);
            model.is_none_or(holds)
        };
        snapshot.endpoints_of(pool).iter().filter(serves).cloned().collect()
    }
}
