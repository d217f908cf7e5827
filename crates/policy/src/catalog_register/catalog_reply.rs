use masticstair_core::prelude::*;

/// The reply to a submitted catalog; carries the version that is stored afterwards.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CatalogReply {
    /// The catalog was stored in place of any earlier version.
    Replaced(CatalogVersion),
    /// The same version was already stored with the same content.
    Held(CatalogVersion),
    /// A higher version is stored; nothing changed.
    Older(CatalogVersion),
    /// The same version is stored with different content; nothing changed.
    OtherContent(CatalogVersion),
}
