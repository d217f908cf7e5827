use masticstair_core::prelude::*;

/// What became of a submitted catalog; each names the version that is held now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CatalogReply {
    /// It is held now.
    Replaced(CatalogVersion),
    /// It was held before, with the same content.
    Held(CatalogVersion),
    /// A higher version is held; nothing changed.
    Older(CatalogVersion),
    /// The version is held with other content; nothing changed.
    OtherContent(CatalogVersion),
}
