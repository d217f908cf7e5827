use futures_util::future::LocalBoxFuture;
use masticstair_core::catalog::CatalogDocument;
use masticstair_policy::catalog_register::CatalogReply;

use super::StoreError;

/// Access to the catalog in the replicated log.
pub struct CatalogStore {
    /// Stores a catalog; completes once a quorum of disks has synced it.
    pub replace:
        Box<dyn Fn(CatalogDocument) -> LocalBoxFuture<'static, Result<CatalogReply, StoreError>>>,
    /// Reads the catalog; the result includes every write that was acknowledged before.
    pub read: Box<dyn Fn() -> LocalBoxFuture<'static, Result<Option<CatalogDocument>, StoreError>>>,
}
