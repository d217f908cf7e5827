use super::recovery::recover;
use super::{Folder, Recovered, StorageError, StorageHandle, StorageOptions, StorageThread};
use std::collections::VecDeque;
use std::path::Path;
use std::sync::mpsc;
use std::thread;

/// Opens the data folder, creating it if it does not exist, recovers its contents, and starts the storage
/// thread.
///
/// # Errors
///
/// `Locked` if another process uses the folder, `Damaged` or `Missing` if its contents are corrupted (see
/// `repair`), and `Io`.
pub fn open(folder: &Path) -> Result<(StorageHandle, Recovered), StorageError> {
    open_with(folder, StorageOptions::default())
}

/// Like `open`, with non-default options.
///
/// # Errors
///
/// As for `open`.
pub fn open_with(
    path: &Path,
    options: StorageOptions,
) -> Result<(StorageHandle, Recovered), StorageError> {
    let folder = Folder::open(path, options.ops)?;
    let (writer, recovered) = recover(folder, options.segment_size.get())?;
    let (tx, rx) = mpsc::channel();
    let snapshot_chunk_size = options.snapshot_chunk_size.get() as usize;
    let snapshot_writers = VecDeque::new();
    let storage =
        StorageThread { rx, writer, snapshot_chunk_size, snapshot_writers, failure: None };
    let started = thread::Builder::new().name("storage".into()).spawn(|| storage.run());
    started.map_err(|e| StorageError::io("starting the storage thread", path, &e))?;
    Ok((StorageHandle { tx }, recovered))
}
