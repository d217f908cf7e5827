use futures_channel::mpsc;
use masticstair_core::prelude::*;
use masticstair_net::memory::MemoryAccount;
use slog::Logger;

use crate::control::{CatalogStore, EvacuationStore};
use crate::front_end::FrontEnd;
use crate::gateway_event::GatewayEvent;
use crate::telemetry::GatewayMetrics;
use crate::{GatewayConfig, Peers};

/// What a gateway is built from.
pub struct GatewayParts {
    /// Listeners, heartbeats and retry budget.
    pub cfg: GatewayConfig,
    /// The name of this host.
    pub host: HostId,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// The data centre of this host.
    pub data_centre: DataCentreId,
    /// The disks that may be lost at the same time without a loss of what was acknowledged.
    pub disk_losses: usize,
    /// The encoding of the messages.
    pub front_end: FrontEnd,
    /// Receives the log lines of the gateway.
    pub log: Logger,
    /// Updated by the gateway; the caller registers them.
    pub metrics: GatewayMetrics,
    /// Returns the current view of the hosts.
    pub peers: Peers,
    /// Access to the catalog in the replicated log.
    pub store: CatalogStore,
    /// Access to the evacuations in the replicated log.
    pub evacuation_store: EvacuationStore,
    /// The memory that the process spends on its clients.
    pub memory: MemoryAccount,
    /// The descriptors that the process may open.
    pub descriptors: Slots,
    /// Messages of other gateways and catalogs from the replicated log.
    pub events: mpsc::UnboundedReceiver<GatewayEvent>,
}
