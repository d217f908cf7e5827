use masticstair_core::prelude::*;
use parking_lot::RwLock;
use std::sync::Arc;

use super::BundleInForce;

/// The bundle in force on this host. A request runs to its end under the bundle that it started with.
#[derive(Debug, Default)]
pub struct CurrentBundle(RwLock<Option<Arc<BundleInForce>>>);

impl CurrentBundle {
    /// Returns the bundle in force; `None` before the first one.
    pub fn get(&self) -> Option<Arc<BundleInForce>> {
        self.0.read().clone()
    }

    /// Returns the encoded, signed bundle of a revision; `None` if another revision is in force.
    pub fn signed(&self, revision: Revision) -> Option<Arc<[u8]>> {
        let current = self.get()?;
        (current.revision == revision).then(|| current.signed.clone())
    }

    /// Puts a bundle in force, unless one of the same or a higher revision is. Returns whether it did.
    pub fn advance(&self, next: BundleInForce) -> bool {
        let mut current = self.0.write();
        if current.as_ref().is_some_and(|c| c.revision >= next.revision) {
            return false;
        }
        *current = Some(Arc::new(next));
        true
    }
}
