use crate::unit::{ByteCount, Millis};

/// What a client may send, and how long it may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClientLimits {
    /// The largest head.
    pub head: ByteCount,
    /// The largest body.
    pub body: ByteCount,
    /// How long a head may take to arrive.
    pub head_timeout: Millis,
    /// How long a connection may be idle.
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
