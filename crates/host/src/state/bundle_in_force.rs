use masticstair_core::bundle::Bundle;
use masticstair_core::prelude::*;
use parking_lot::RwLock;
use std::sync::Arc;

/// A bundle and the revision under which it is in force.
#[derive(Clone, Debug)]
pub struct BundleInForce {
    /// The revision.
    pub revision: Revision,
    /// The bundle.
    pub bundle: Arc<Bundle>,
    /// The bundle with its signatures, as other hosts get it.
    pub signed: Arc<[u8]>,
}

/// The bundle in force on this host. A request keeps the one that it began with.
#[derive(Debug, Default)]
pub struct InForce(RwLock<Option<Arc<BundleInForce>>>);

impl InForce {
    /// Returns the bundle in force, if there is one.
    pub fn get(&self) -> Option<Arc<BundleInForce>> {
        self.0.read().clone()
    }

    /// Returns the signed bundle of a revision, when it is the one in force.
    pub fn signed(&self, revision: Revision) -> Option<Arc<[u8]>> {
        let current = self.get()?;
        (current.revision == revision).then(|| current.signed.clone())
    }

    /// Puts a bundle in force, unless one of the same or a higher revision is. Tells whether it did.
    pub fn advance(&self, next: BundleInForce) -> bool {
        let mut current = self.0.write();
        if current.as_ref().is_some_and(|c| c.revision >= next.revision) {
            return false;
        }
        *current = Some(Arc::new(next));
        true
    }
}
