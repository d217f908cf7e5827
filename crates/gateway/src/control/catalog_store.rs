use futures_util::future::LocalBoxFuture;
use masticstair_core::catalog::CatalogDocument;
use masticstair_policy::catalog_register::CatalogReply;
use thiserror::Error;

/// The reason for which the replicated log gave no answer.
#[derive(Clone, Debug, Error)]
pub enum StoreError {
    /// The command certainly had no effect.
    #[error("the catalog was not stored: {0}")]
    NotStored(Box<str>),
    /// The command may take effect now or later, or the answer to a read is not certain.
    #[error("the replicated log gave no certain answer: {0}")]
    Unknown(Box<str>),
}

/// The ways to the catalog of the replicated log.
pub struct CatalogStore {
    /// Stores a catalog; the answer comes after as many disks as the log needs have synced it.
    pub replace:
        Box<dyn Fn(CatalogDocument) -> LocalBoxFuture<'static, Result<CatalogReply, StoreError>>>,
    /// Reads the catalog as of all that was acknowledged before.
    pub read: Box<dyn Fn() -> LocalBoxFuture<'static, Result<Option<CatalogDocument>, StoreError>>>,
}
