use masticstair_core::bundle::Bundle;
use masticstair_core::prelude::*;
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
