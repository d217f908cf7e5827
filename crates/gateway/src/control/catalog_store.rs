use futures_util::future::LocalBoxFuture;
use masticstair_core::catalog::CatalogDocument;
use masticstair_policy::catalog_register::CatalogReply;

use super::StoreError;

/// The ways to the catalog of the replicated log.
pub struct CatalogStore {
    /// Stores a catalog; the answer comes after as many disks as the log needs have synced it.
    pub replace:
        Box<dyn Fn(CatalogDocument) -> LocalBoxFuture<'static, Result<CatalogReply, StoreError>>>,
    /// Reads the catalog as of all that was acknowledged before.
    pub read: Box<dyn Fn() -> LocalBoxFuture<'static, Result<Option<CatalogDocument>, StoreError>>>,
}
