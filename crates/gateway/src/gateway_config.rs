use masticstair_core::prelude::*;
use std::net::SocketAddr;

/// The settings of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayConfig {
    /// Where clients reach this host; none when it takes no clients.
    pub listen: Option<SocketAddr>,
    /// Where the load balancer asks whether this host takes clients.
    pub ready_listen: Option<SocketAddr>,
    /// Where endpoints and operators reach this host; none when it is no control host.
    pub control_listen: Option<SocketAddr>,
    /// The time between two announcements of an endpoint.
    pub heartbeat: Millis,
    /// How long a process may take to stop before it is killed.
    pub grace: Millis,
    /// Repeats for each request of a service.
    pub retry_ratio: f64,
    /// Repeats of a service beside them, over all hosts together.
    pub retry_allowance: f64,
    /// The span in which repeats are counted.
    pub retry_window: Millis,
}
