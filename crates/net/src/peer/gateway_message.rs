use std::time::Duration;

/// A message between the gateways of two hosts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GatewayMessage {
    /// The message as encoded by the gateway; opaque to this crate.
    pub content: Box<[u8]>,
    /// Timeout for the reply.
    pub budget: Duration,
}
