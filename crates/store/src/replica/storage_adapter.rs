//! Adapts the storage thread to the interface that the replica expects.

use std::future::Future;
use std::rc::Rc;

use crate::consensus::{RecoveredState, Storage, StorageFault};
use crate::storage::{self, StorageHandle};

/// Converts the state recovered by the storage into the initial state of the replica.
pub(crate) fn recovered_state(recovered_log: storage::Recovered) -> RecoveredState {
    RecoveredState {
        hard_state: recovered_log.hard_state,
        snapshot: recovered_log.snapshot,
        entries: recovered_log.entries,
    }
}

/// Creates the storage of a replica; each operation completes once the storage thread has finished it.
pub(crate) fn storage(handle: StorageHandle) -> Storage {
    let handle = Rc::new(handle);
    let [append_handle, hard_state_handle, snapshot_handle] =
        [handle.clone(), handle.clone(), handle];
    Storage {
        append: Box::new(move |entries| {
            let handle = append_handle.clone();
            Box::pin(async move { map_fault(handle.append(entries)).await })
        }),
        save_hard_state: Box::new(move |hard| {
            let handle = hard_state_handle.clone();
            Box::pin(async move { map_fault(handle.save_hard_state(hard)).await })
        }),
        save_snapshot: Box::new(move |meta, data| {
            let handle = snapshot_handle.clone();
            Box::pin(async move { map_fault(handle.save_snapshot(meta, data)).await })
        }),
    }
}

async fn map_fault(
    call: impl Future<Output = Result<(), storage::StorageError>>,
) -> Result<(), StorageFault> {
    call.await.map_err(|e| StorageFault(e.to_string().into()))
}
