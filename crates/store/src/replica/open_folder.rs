use futures_channel::oneshot;
use std::thread;

use super::OpenFn;
use crate::storage::{Recovered, StorageError, StorageHandle};

/// Opens the data folder on a thread of its own, so that a slow disk does not hold the caller's thread.
pub(crate) async fn open_folder(open: OpenFn) -> Result<(StorageHandle, Recovered), StorageError> {
    let (tx, rx) = oneshot::channel();
    let started = thread::Builder::new().name("storage-open".into()).spawn(move || {
        // Without a receiver, the handle is dropped, which closes the storage.
        let _ = tx.send(open());
    });
    if let Err(e) = started {
        return Err(StorageError::Thread { message: e.to_string().into() });
    }
    rx.await.unwrap_or(Err(StorageError::Closed))
}
