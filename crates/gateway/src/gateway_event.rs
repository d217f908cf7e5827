use futures_channel::{mpsc, oneshot};
use masticstair_core::catalog::CatalogDocument;
use masticstair_core::prelude::*;

/// What other threads tell the thread of the gateway.
#[derive(Debug)]
pub enum GatewayEvent {
    /// A message of another gateway.
    Message {
        /// The host that sent it.
        from: HostId,
        /// The encoded message.
        content: Box<[u8]>,
        /// Takes the encoded answer; dropped without one when the message cannot be read.
        reply: oneshot::Sender<Box<[u8]>>,
    },
    /// The replica of this host holds a catalog.
    Catalog(CatalogDocument),
}

/// Makes the channel to the thread of a gateway.
pub fn event_channel()
-> (mpsc::UnboundedSender<GatewayEvent>, mpsc::UnboundedReceiver<GatewayEvent>) {
    mpsc::unbounded()
}
