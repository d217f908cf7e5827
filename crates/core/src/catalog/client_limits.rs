use crate::unit::{ByteCount, Millis};

/// Limits on the size and the transfer time of client requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClientLimits {
    /// The maximum size of a request head.
    pub head: ByteCount,
    /// The maximum size of a request body.
    pub body: ByteCount,
    /// The timeout for receiving a head.
    pub head_timeout: Millis,
    /// The timeout for an idle connection.
    pub idle_timeout: Millis,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            head: ByteCount::new(16_384),
            body: ByteCount::new(4_194_304),
            head_timeout: Millis::new(3_000),
            idle_timeout: Millis::new(15_000),
        }
    }
}
