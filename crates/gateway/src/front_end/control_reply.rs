use masticstair_core::catalog::CatalogDocument;
use masticstair_policy::catalog_register::CatalogReply;

/// The answer of a control host.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlReply {
    /// An announcement was taken.
    Acknowledged,
    /// A catalog was taken, or a higher version is held; it is durable.
    Stored(CatalogReply),
    /// A catalog is not valid.
    Invalid(Box<str>),
    /// The catalog with the highest version.
    Catalog(CatalogDocument),
    /// This host cannot answer for certain; another one may, or this one later.
    Unsure(Box<str>),
    /// Nothing is served there.
    NotFound,
}
