use bytes::Bytes;
use masticstair_core::prelude::*;
use masticstair_policy::directory::Announcement;
use masticstair_policy::evacuations::EvacuationAction;

/// A request to a control host.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlRequest {
    /// An endpoint announces itself.
    Announce(Box<Announcement>),
    /// An endpoint leaves; the incarnation is present if the endpoint states it.
    Leave(EndpointId, Option<Incarnation>),
    /// An announcement that identifies no usable endpoint; carries the reason for the log.
    Unusable(Box<str>),
    /// An operator replaces the catalog.
    Replace(Bytes),
    /// An operator reads the catalog.
    Describe,
    /// An operator orders an evacuation of a data centre or its end.
    Evacuate(DataCentreId, EvacuationAction),
    /// An operator's order that cannot be read; carries the reason.
    Malformed(Box<str>),
    /// A request that control hosts don't serve.
    Unknown,
}
