use masticstair_core::prelude::*;

/// Limits of a `ConnectionPool`.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// Maximum size of a response body that is read completely, and of one chunk of a streamed body.
    pub body: ByteCount,
    /// Maximum idle time of a pooled connection. It is short because a connection can be dead without an
    /// error.
    pub idle_timeout: Millis,
    /// Maximum number of idle connections per endpoint.
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
