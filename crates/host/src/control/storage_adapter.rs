//! Connects the replica to its storage thread.

use masticstair_store::consensus::{RecoveredState, Storage, StorageFault};
use masticstair_store::storage::{self, StorageHandle};
use std::future::Future;
use std::rc::Rc;

/// Converts what the storage found into what the replica starts from.
pub(super) fn recovered(found: storage::Recovered) -> RecoveredState {
    RecoveredState {
        hard_state: found.hard_state,
        snapshot: found.snapshot,
        entries: found.entries,
    }
}

/// Makes the storage of a replica. `failed` is told of the first failure.
pub(super) fn storage(handle: StorageHandle) -> Storage {
    let handle = Rc::new(handle);
    let [a, b, c] = [handle.clone(), handle.clone(), handle];
    Storage {
        append: Box::new(move |entries| {
            let handle = a.clone();
            Box::pin(async move { fault(handle.append(entries)).await })
        }),
        save_hard_state: Box::new(move |hard| {
            let handle = b.clone();
            Box::pin(async move { fault(handle.save_hard_state(hard)).await })
        }),
        save_snapshot: Box::new(move |meta, data| {
            let handle = c.clone();
            Box::pin(async move { fault(handle.save_snapshot(meta, data)).await })
        }),
    }
}

async fn fault(
    call: impl Future<Output = Result<(), storage::StorageError>>,
) -> Result<(), StorageFault> {
    call.await.map_err(|e| StorageFault(e.to_string().into()))
}
