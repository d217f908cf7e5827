use futures_channel::{mpsc, oneshot};
use masticstair_core::catalog::CatalogDocument;
use masticstair_core::id::EvacuationRevision;
use masticstair_core::prelude::*;
use masticstair_policy::evacuations::{EvacuationAction, EvacuationListing};

use crate::control::{EvacuationError, EvacuationOutcome};
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
    /// The replica on this host has applied a change of the evacuations, or restored them.
    Evacuations(EvacuationListing),
    /// An operator orders an evacuation or its end.
    Evacuate {
        /// The data centre.
        data_centre: DataCentreId,
        /// What is ordered.
        action: EvacuationAction,
        /// The revision that the operator saw; none for the one in force at this host.
        after: Option<EvacuationRevision>,
        /// Receives the outcome.
        reply: oneshot::Sender<Result<EvacuationOutcome, EvacuationError>>,
    },
    /// Asks for the status of the gateway.
    Status(oneshot::Sender<GatewayStatus>),
}

/// Creates the channel to the thread of a gateway. It is unbounded.
pub fn event_channel()
-> (mpsc::UnboundedSender<GatewayEvent>, mpsc::UnboundedReceiver<GatewayEvent>) {
    mpsc::unbounded()
}
