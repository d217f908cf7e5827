use futures_channel::{mpsc, oneshot};
use masticstair_core::catalog::CatalogDocument;
use masticstair_core::prelude::*;

use crate::status::GatewayStatus;

/// What other threads send to the thread of the gateway.
#[derive(Debug)]
pub enum GatewayEvent {
    /// A message from another gateway.
    Message {
        /// The host that sent it.
        from: HostId,
        /// The encoded message.
        content: Box<[u8]>,
        /// Receives the encoded reply; dropped without one if the message cannot be decoded.
        reply: oneshot::Sender<Box<[u8]>>,
    },
    /// The replica on this host has applied a catalog.
    Catalog(CatalogDocument),
    /// Asks for the status of the gateway.
    Status(oneshot::Sender<GatewayStatus>),
}

/// Creates the channel to the thread of a gateway. It is unbounded.
pub fn event_channel()
-> (mpsc::UnboundedSender<GatewayEvent>, mpsc::UnboundedReceiver<GatewayEvent>) {
    mpsc::unbounded()
}
