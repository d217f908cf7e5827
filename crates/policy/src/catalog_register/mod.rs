//! The catalog in force, as a table of the replicated log.

mod catalog_reply;

pub use catalog_reply::CatalogReply;

use masticstair_core::catalog::CatalogDocument;
use masticstair_core::prelude::*;

/// Stores the catalog with the highest version.
///
/// The version never decreases, and the content of a version never changes.
#[derive(Clone, Debug, Default)]
pub struct CatalogRegister(Option<CatalogDocument>);

impl CatalogRegister {
    /// Restores a register from the document of a snapshot, if it has one.
    pub fn with_document(document: Option<CatalogDocument>) -> Self {
        Self(document)
    }

    /// Returns the stored document; `None` before the first one.
    pub fn get(&self) -> Option<&CatalogDocument> {
        self.0.as_ref()
    }

    /// Returns the stored version; 0 when there is none.
    pub fn version(&self) -> CatalogVersion {
        self.0.as_ref().map(|held| held.version).unwrap_or_default()
    }

    /// Stores a document if its version is higher than the stored one.
    pub fn replace(&mut self, document: &CatalogDocument) -> CatalogReply {
        match &self.0 {
            Some(held) if document.version < held.version => CatalogReply::Older(held.version),
            Some(held) if document.version == held.version && document != held => {
                CatalogReply::OtherContent(held.version)
            }
            Some(held) if document.version == held.version => CatalogReply::Held(held.version),
            _ => {
                self.0 = Some(document.clone());
                CatalogReply::Replaced(document.version)
            }
        }
    }
}
