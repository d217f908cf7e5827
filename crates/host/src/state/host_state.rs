use futures_channel::mpsc::UnboundedSender;
use masticstair_core::id::ModelName;
use masticstair_core::prelude::*;
use masticstair_gateway::GatewayEvent;
use masticstair_net::http::server::ConnectionCount;
use masticstair_net::memory::MemoryAccount;
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

/// State shared by the threads of a host.
pub struct HostState {
    /// The settings as read at the start; a reload changes only the seeds, which the membership holds.
    pub cfg: Settings,
    /// The root logger, which adds the host and its data centre to every line.
    pub log: Logger,
    /// The incarnation of this process: its start as Unix milliseconds.
    pub incarnation: Incarnation,
    /// The monotonic clock that all times of this process refer to.
    pub clock: Clock,
    /// The metrics that `GET /metrics` exports.
    pub metrics: Metrics,
    /// The bundle in force.
    pub in_force: CurrentBundle,
    pub(super) behind_since: BehindSince,
    /// What the host observes of its own calls, its limits on concurrency and its queue.
    pub traffic: Traffic,
    /// Access to the replicated log; unset until the control thread runs.
    pub control: OnceLock<ControlHandle>,
    /// Live hosts and endpoints; unset until the control thread runs.
    pub membership: OnceLock<Arc<Membership>>,
    /// The event queue of the gateway thread; unset on hosts without a gateway.
    pub gateway: OnceLock<UnboundedSender<GatewayEvent>>,
    /// Requests in flight and the progress of a shutdown.
    pub drain: Drain,
    /// Connections that the workers hold open.
    pub connections: ConnectionCount,
    /// The memory that the process spends on its clients, over all listeners.
    pub memory: MemoryAccount,
}

impl HostState {
    /// Creates the state of a host that has just started: no bundle, no peers, no requests.
    pub fn new(cfg: Settings, log: Logger) -> Self {
        let clock = Clock::start();
        let memory = MemoryAccount::new(cfg.request_memory());
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
            memory,
        }
    }

    /// Sends an event to the gateway; does nothing on hosts without one.
    pub fn notify_gateway(&self, event: GatewayEvent) {
        if let Some(gateway) = self.gateway.get() {
            // Sending fails only if the gateway has stopped.
            let _ = gateway.unbounded_send(event);
        }
    }

    /// Returns whether a process is known to have ended: its host is not live or has a later incarnation.
    /// `false` before the control thread runs.
    pub fn has_process_ended(&self, host: &HostId, incarnation: Incarnation) -> bool {
        let Some(membership) = self.membership.get() else { return false };
        !membership.snapshot().is_live(host, incarnation)
    }

    /// Returns the endpoints of a pool that accept new calls and, if `model` is given, have it loaded.
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
