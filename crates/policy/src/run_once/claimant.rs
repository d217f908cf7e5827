use masticstair_core::prelude::*;

/// The process that runs a claiming request, and the time that the request has left.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Claimant {
    /// The host that runs the request.
    pub host: HostId,
    /// The incarnation of that host's process; a higher one means that the claimant has stopped.
    pub incarnation: Incarnation,
    /// The time that the request had left when it proposed the claim.
    pub deadline: Millis,
    /// The host's wall clock at the proposal; only orders expiry, so safety does not depend on it.
    pub proposed_at: WallTime,
}
