use std::sync::Arc;

use futures_util::future::LocalBoxFuture;
use masticstair_core::id::Revision;

/// Verifies a bundle and puts it in force; the error is the reason for which it is refused.
pub type InstallBundle =
    Box<dyn Fn(Revision, Box<[u8]>) -> LocalBoxFuture<'static, Result<(), Box<str>>>>;

/// How the membership reaches the bundles of this host. The content is opaque to it.
pub struct BundleHooks {
    /// Returns the signed bundle of a revision that this host holds.
    pub content: Box<dyn Fn(Revision) -> Option<Arc<[u8]>>>,
    /// Takes a fetched bundle.
    pub install: InstallBundle,
}
