use masticstair_core::catalog::CatalogDocument;
use masticstair_policy::catalog_register::CatalogReply;

/// The reply of a control host.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlReply {
    /// An announcement or a departure was received.
    Acknowledged,
    /// A catalog was stored durably, or a higher version already was.
    Stored(CatalogReply),
    /// A catalog is not valid; carries the reason.
    Invalid(Box<str>),
    /// The catalog with the highest version.
    Catalog(CatalogDocument),
    /// This host has no definite answer; another host may have one, or this host later.
    Unsure(Box<str>),
    /// No resource has this path.
    NotFound,
}
