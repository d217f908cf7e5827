use masticstair_core::prelude::*;

/// Where and for how long a claiming request runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Claimant {
    /// The host of the request.
    pub host: HostId,
    /// The life of that host's process; a higher one means that the claimant is gone.
    pub incarnation: Incarnation,
    /// The time that the request had left when it proposed the claim.
    pub deadline: Millis,
    /// The host's wall clock at the proposal; orders expiry only, no safety depends on it.
    pub proposed_at: WallTime,
}
