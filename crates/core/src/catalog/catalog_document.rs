use std::sync::Arc;

use crate::id::CatalogVersion;

/// A catalog as an operator submitted it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CatalogDocument {
    /// The version that the document states.
    pub version: CatalogVersion,
    /// The document in the format of the front end.
    pub content: Arc<[u8]>,
}
