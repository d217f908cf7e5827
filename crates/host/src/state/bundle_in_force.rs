use masticstair_core::bundle::Bundle;
use masticstair_core::prelude::*;
use std::sync::Arc;

/// A bundle together with the revision under which it is in force.
#[derive(Clone, Debug)]
pub struct BundleInForce {
    /// The number of the revision; it only grows.
    pub revision: Revision,
    /// The parsed content.
    pub bundle: Arc<Bundle>,
    /// The encoded bundle with its signatures, as sent to other hosts.
    pub signed: Arc<[u8]>,
}
