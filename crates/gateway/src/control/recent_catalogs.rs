use masticstair_core::catalog::CatalogDocument;
use masticstair_core::prelude::*;
use std::collections::{HashMap, VecDeque};
use std::io;

use crate::messages::CatalogUpdate;

/// Documents that are kept. A subscriber that is further behind gets the whole document.
const MAX_DOCUMENTS: usize = 16;

/// The limit on their size together; the newest one and the one before are kept in any case.
const MAX_BYTES: usize = 2 << 20;

/// The catalogs that were in force at this control host last, from which updates are made.
#[derive(Debug, Default)]
pub(crate) struct RecentCatalogs {
    /// The newest one is last; versions only rise.
    documents: VecDeque<CatalogDocument>,
    /// The updates to the newest one, by their base. Many subscribers have the same.
    updates: HashMap<CatalogVersion, CatalogUpdate>,
}

impl RecentCatalogs {
    /// Adds the catalog in force, if it is newer than the last one.
    pub(crate) fn add(&mut self, document: CatalogDocument) {
        if self.documents.back().is_some_and(|last| last.version >= document.version) {
            return;
        }
        self.documents.push_back(document);
        self.updates.clear();
        let size = |documents: &VecDeque<CatalogDocument>| -> usize {
            documents.iter().map(|d| d.content.len()).sum()
        };
        while self.documents.len() > MAX_DOCUMENTS
            || (self.documents.len() > 2 && size(&self.documents) > MAX_BYTES)
        {
            self.documents.pop_front();
        }
    }

    /// Returns the newest version with its update for a subscriber that has version `base` in force; none before the first
    /// catalog.
    ///
    /// # Errors
    ///
    /// Returns the error of the compressor.
    pub(crate) fn update_from(
        &mut self,
        base: CatalogVersion,
    ) -> io::Result<Option<(CatalogVersion, CatalogUpdate)>> {
        let Some(newest) = self.documents.back() else { return Ok(None) };
        let held = self.documents.iter().find(|d| d.version == base);
        let base = held.map(|d| d.version).unwrap_or_default();
        if let Some(update) = self.updates.get(&base) {
            return Ok(Some((newest.version, update.clone())));
        }
        let earlier = held.map(|d| &*d.content).unwrap_or_default();
        let update = CatalogUpdate::encode(base, earlier, &newest.content)?;
        self.updates.insert(base, update.clone());
        Ok(Some((newest.version, update)))
    }
}
