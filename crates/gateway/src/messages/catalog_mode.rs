use serde::{Deserialize, Serialize};

/// What a subscriber wants of a newer catalog.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CatalogMode {
    /// The whole document; hosts of earlier builds ask for nothing else.
    Whole,
    /// A `CatalogUpdate`.
    Update,
    /// Its version only; the content comes from another control host.
    Version,
}
