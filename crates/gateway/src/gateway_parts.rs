use futures_channel::mpsc;
use masticstair_core::prelude::*;
use slog::Logger;

use crate::control::CatalogStore;
use crate::front_end::FrontEnd;
use crate::gateway_event::GatewayEvent;
use crate::telemetry::GatewayMetrics;
use crate::{GatewayConfig, Peers};

/// What a gateway is made of.
pub struct GatewayParts {
    /// The settings.
    pub cfg: GatewayConfig,
    /// The name of this host.
    pub host: HostId,
    /// The life of this process.
    pub incarnation: Incarnation,
    /// The data centre of this host.
    pub data_centre: DataCentreId,
    /// The encoding of the messages.
    pub front_end: FrontEnd,
    /// Gets a line for each decision.
    pub log: Logger,
    /// Counts.
    pub metrics: GatewayMetrics,
    /// The other hosts.
    pub peers: Peers,
    /// The way to the replicated log.
    pub store: CatalogStore,
    /// Messages of other gateways and catalogs of the replicated log.
    pub events: mpsc::UnboundedReceiver<GatewayEvent>,
}
