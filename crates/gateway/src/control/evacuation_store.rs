use futures_util::future::LocalBoxFuture;
use masticstair_policy::evacuations::{EvacuationOrder, EvacuationReply};

use super::StoreError;

/// Access to the evacuations in the replicated log.
pub struct EvacuationStore {
    /// Carries out an order; completes once enough disks have synced it.
    pub order: Box<
        dyn Fn(EvacuationOrder) -> LocalBoxFuture<'static, Result<EvacuationReply, StoreError>>,
    >,
}
