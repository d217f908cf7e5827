use std::sync::Arc;

use crate::id::CatalogVersion;

/// A catalog in the form in which an operator submitted it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CatalogDocument {
    /// The version that is given in the document.
    pub version: CatalogVersion,
    /// The unchanged bytes of the document, in the format of the front end.
    pub content: Arc<[u8]>,
}
