use masticstair_core::catalog::{Catalog, CatalogDocument};
use masticstair_core::prelude::*;
use std::cell::RefCell;
use std::sync::Arc;

/// The catalog that a host obeys.
///
/// Its version never falls in the life of the process.
#[derive(Debug, Default)]
pub struct CatalogInForce(RefCell<Option<(CatalogDocument, Arc<Catalog>)>>);

impl CatalogInForce {
    /// Returns the catalog.
    pub fn get(&self) -> Option<Arc<Catalog>> {
        self.0.borrow().as_ref().map(|(_, catalog)| catalog.clone())
    }

    /// Returns the document of the catalog.
    pub fn document(&self) -> Option<CatalogDocument> {
        self.0.borrow().as_ref().map(|(document, _)| document.clone())
    }

    /// Returns the version; 0 when there is none.
    pub fn version(&self) -> CatalogVersion {
        self.0.borrow().as_ref().map(|(document, _)| document.version).unwrap_or_default()
    }

    /// Puts a catalog in force; tells whether it is newer than the one before.
    pub fn advance(&self, document: CatalogDocument, catalog: Catalog) -> bool {
        let newer = document.version > self.version();
        if newer {
            *self.0.borrow_mut() = Some((document, Arc::new(catalog)));
        }
        newer
    }
}
