use masticstair_core::prelude::*;
use std::net::SocketAddr;

/// The settings of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayConfig {
    /// Address for clients; none if this host takes no clients.
    pub listen: Option<SocketAddr>,
    /// Address for the readiness probe of the load balancer; may equal `listen`.
    pub ready_listen: Option<SocketAddr>,
    /// Address for endpoints and operators; none if this host is not a control host.
    pub control_listen: Option<SocketAddr>,
    /// The interval between two announcements of an endpoint.
    pub heartbeat: Millis,
    /// How long the process may take to stop before it is killed.
    pub grace: Millis,
    /// Retries allowed per request of a service.
    pub retry_ratio: f64,
    /// Retries of a service allowed in addition, over all hosts together.
    pub retry_allowance: f64,
    /// The period over which requests and retries are counted.
    pub retry_window: Millis,
    /// The requests that a cold endpoint may get, as a multiple of the rate that it bears.
    pub cold_overage: f64,
    /// The requests that a cold endpoint may get in addition in any second.
    pub cold_allowance: f64,
    /// The memory of the machine; none if it is not limited.
    pub memory: Option<ByteCount>,
}
