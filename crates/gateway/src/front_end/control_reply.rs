use masticstair_core::catalog::CatalogDocument;
use masticstair_policy::catalog_register::CatalogReply;

use crate::control::EvacuationOutcome;

/// The reply of a control host.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlReply {
    /// An announcement or a departure was received.
    Acknowledged,
    /// A catalog was stored durably, or a higher version already was.
    Stored(CatalogReply),
    /// An order for a data centre was carried out, or what it asks for holds already.
    Evacuated(EvacuationOutcome),
    /// A catalog or an order is not valid, and changed nothing; carries the reason.
    Invalid(Box<str>),
    /// The catalog with the highest version.
    Catalog(CatalogDocument),
    /// This host has no definite answer; another host may have one, or this host later.
    Unsure(Box<str>),
    /// No resource has this path.
    NotFound,
}
