use masticstair_core::catalog::{Catalog, CatalogDocument};
use masticstair_core::prelude::*;
use std::cell::{Cell, RefCell};
use std::sync::Arc;

/// The catalog that this host serves.
///
/// Its version never decreases during the life of the process.
#[derive(Debug, Default)]
pub struct CatalogInForce {
    current: RefCell<Option<(CatalogDocument, Arc<Catalog>)>>,
    /// When `current` came into force.
    since: Cell<Timestamp>,
}

impl CatalogInForce {
    pub fn get(&self) -> Option<Arc<Catalog>> {
        self.current.borrow().as_ref().map(|(_, catalog)| catalog.clone())
    }

    /// Returns the catalog as the operator wrote it.
    pub fn document(&self) -> Option<CatalogDocument> {
        self.current.borrow().as_ref().map(|(document, _)| document.clone())
    }

    /// Returns the version; 0 before the first catalog.
    pub fn version(&self) -> CatalogVersion {
        self.current.borrow().as_ref().map(|(document, _)| document.version).unwrap_or_default()
    }

    /// Returns when the catalog came into force; zero before the first one.
    pub fn since(&self) -> Timestamp {
        self.since.get()
    }

    /// Replaces the catalog if the new one has a higher version; returns whether it did.
    pub fn advance(&self, now: Timestamp, document: CatalogDocument, catalog: Catalog) -> bool {
        let newer = document.version > self.version();
        if newer {
            *self.current.borrow_mut() = Some((document, Arc::new(catalog)));
            self.since.set(now);
        }
        newer
    }
}
