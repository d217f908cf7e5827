use std::time::Duration;

/// A message between the gateways of two hosts, encoded by the gateway.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GatewayMessage {
    /// The encoded message.
    pub content: Box<[u8]>,
    /// How long the answer may take.
    pub budget: Duration,
}
