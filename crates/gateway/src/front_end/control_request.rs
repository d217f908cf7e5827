use bytes::Bytes;
use masticstair_core::prelude::*;
use masticstair_policy::directory::Announcement;

/// A request to a control host.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlRequest {
    /// An endpoint announces itself.
    Announce(Box<Announcement>),
    /// An endpoint ends; its life is given when it says so.
    Leave(EndpointId, Option<Incarnation>),
    /// An announcement that names no endpoint to use; the reason is for the log.
    Unusable(Box<str>),
    /// An operator replaces the catalog.
    Replace(Bytes),
    /// An operator reads the catalog.
    Describe,
    /// Nothing that a control host serves.
    Unknown,
}
