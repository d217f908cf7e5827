use std::time::Duration;

use masticstair_core::id::HostId;

/// A question to probe another host, because the asker got no answer from it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProbeRequest {
    /// The host to probe.
    pub host: HostId,
    /// The time for the probe and its answer.
    pub budget: Duration,
}
