use std::time::Duration;

use masticstair_core::id::HostId;

/// A request to probe a third host, from which the sender got no reply.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProbeRequest {
    /// The host to probe.
    pub host: HostId,
    /// Timeout for the probe and the reply together.
    pub budget: Duration,
}
