use masticstair_core::prelude::*;

/// Bounds of the client side.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// The largest body of a response that is read whole.
    pub body: ByteCount,
    /// How long an unused connection is kept. A connection that has not answered lately may be dead
    /// without an error.
    pub idle_timeout: Millis,
    /// Unused connections kept for each endpoint.
    pub idle_per_endpoint: usize,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            body: ByteCount::new(8_388_608),
            idle_timeout: Millis::new(2_000),
            idle_per_endpoint: 256,
        }
    }
}
