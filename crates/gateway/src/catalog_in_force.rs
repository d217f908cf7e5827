use masticstair_core::catalog::{Catalog, CatalogDocument};
use masticstair_core::prelude::*;
use std::cell::RefCell;
use std::sync::Arc;

/// The catalog that this host serves.
///
/// Its version never decreases during the life of the process.
#[derive(Debug, Default)]
pub struct CatalogInForce(RefCell<Option<(CatalogDocument, Arc<Catalog>)>>);

impl CatalogInForce {
    pub fn get(&self) -> Option<Arc<Catalog>> {
        self.0.borrow().as_ref().map(|(_, catalog)| catalog.clone())
    }

    /// Returns the catalog as the operator wrote it.
    pub fn document(&self) -> Option<CatalogDocument> {
        self.0.borrow().as_ref().map(|(document, _)| document.clone())
    }

    /// Returns the version; 0 before the first catalog.
    pub fn version(&self) -> CatalogVersion {
        self.0.borrow().as_ref().map(|(document, _)| document.version).unwrap_or_default()
    }

    /// Replaces the catalog if the new one has a higher version; returns whether it did.
    pub fn advance(&self, document: CatalogDocument, catalog: Catalog) -> bool {
        let newer = document.version > self.version();
        if newer {
            *self.0.borrow_mut() = Some((document, Arc::new(catalog)));
        }
        newer
    }
}
