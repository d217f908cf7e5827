use std::sync::Arc;

use futures_util::future::LocalBoxFuture;
use masticstair_core::id::Revision;

/// Verifies a bundle and puts it in force; the error says why the bundle was refused.
pub type InstallBundle =
    Box<dyn Fn(Revision, Box<[u8]>) -> LocalBoxFuture<'static, Result<(), Box<str>>>>;

/// Gives the membership access to the bundles of this host, whose content it does not interpret.
pub struct BundleHooks {
    /// Returns the signed bundle of a revision, or `None` if this host does not hold it.
    pub content: Box<dyn Fn(Revision) -> Option<Arc<[u8]>>>,
    /// Called with each bundle that was fetched from a peer.
    pub install: InstallBundle,
}
