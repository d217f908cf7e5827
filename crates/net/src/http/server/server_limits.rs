use masticstair_core::prelude::*;

use super::LargeBodyLimit;

/// Limits on connections, requests and bodies of the HTTP server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Maximum size of the request head; a larger one is rejected with 431. Must be at least 8 KiB.
    pub head: ByteCount,
    /// Timeout for receiving the head; 408 after that.
    pub head_timeout: Millis,
    /// Maximum body size; a larger body is rejected with 413.
    pub body: ByteCount,
    /// Higher body size limit for one path; with `None`, `body` applies to every path.
    pub large_body: Option<LargeBodyLimit>,
    /// Timeout for receiving the body; 408 after that.
    pub body_timeout: Millis,
    /// Maximum number of requests on one connection; it is closed after the last response.
    pub requests_per_connection: Slots,
    /// Maximum number of connections; further ones get a 429 response and are closed. All servers that
    /// share a `ConnectionCount` count together.
    pub connections: Slots,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            head: ByteCount::new(16_384),
            head_timeout: Millis::new(5_000),
            body: ByteCount::new(1_048_576),
            large_body: None,
            body_timeout: Millis::new(10_000),
            requests_per_connection: Slots::new(1_000),
            connections: Slots::new(4_096),
        }
    }
}
