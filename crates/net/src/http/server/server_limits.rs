use masticstair_core::prelude::*;

use super::LargeBodyLimit;

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// The largest head; a larger one is answered with 431. At least 8 KiB.
    pub head: ByteCount,
    /// How long the head may take to arrive; 408 after that.
    pub head_timeout: Millis,
    /// The largest body; a larger one is answered with 413.
    pub body: ByteCount,
    /// Another limit for the bodies of one path.
    pub large_body: Option<LargeBodyLimit>,
    /// How long the body may take to arrive; 408 after that.
    pub body_timeout: Millis,
    /// Requests on one connection; the last answer closes it.
    pub requests_per_connection: Slots,
    /// Connections of the whole process; a further one is answered with 429 and closed.
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
