//! Benchmark of the storage: appends and syncs per second with 1, 16 and 256 concurrent appenders.
//!
//! `cargo run --release -p masticstair-store --example storage_bench [folder] [seconds]`

use futures_util::future::join_all;
use masticstair_core::id::{LogIndex, Term};
use masticstair_core::message::{EntryPayload, LogEntry};
use masticstair_net::runtime::block_on;
use masticstair_store::storage::{FileOps, StorageError, StorageHandle, StorageOptions, open_with};
use std::cell::Cell;
use std::error::Error;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Payload size of an entry; about that of a run-once claim with its key and digest.
const COMMAND_BYTES: usize = 256;

fn main() -> Result<(), Box<dyn Error>> {
    let mut args = std::env::args().skip(1);
    let folder = args.next().map_or_else(std::env::temp_dir, PathBuf::from);
    let seconds = args.next().map_or(Ok(3), |s| s.parse())?;
    println!("appenders  appends/s  syncs/s  appends/sync  mean latency (us)");
    for appenders in [1, 16, 256] {
        let path = folder.join(format!("storage-bench-{}-{appenders}", std::process::id()));
        let result = measure(&path, appenders, Duration::from_secs(seconds));
        std::fs::remove_dir_all(&path)?;
        println!("{}", result?);
    }
    Ok(())
}

fn measure(path: &Path, appenders: usize, time: Duration) -> Result<String, Box<dyn Error>> {
    let syncs = Arc::new(AtomicU64::new(0));
    let ops = counting_ops(syncs.clone());
    let (storage, _) = open_with(path, StorageOptions { ops, ..StorageOptions::default() })?;
    syncs.store(0, Ordering::Relaxed);
    let next = Cell::new(1);
    let begin = Instant::now();
    block_on(async {
        let tasks = (0..appenders).map(|_| append_until(&storage, &next, begin + time));
        let results = join_all(tasks).await;
        results.into_iter().collect::<Result<(), StorageError>>()
    })??;
    let elapsed = begin.elapsed().as_secs_f64();
    let (appends, syncs) = ((next.get() - 1) as f64, syncs.load(Ordering::Relaxed) as f64);
    block_on(storage.close())??;
    Ok(format!(
        "{appenders:9}  {:9.0}  {:7.0}  {:12.1}  {:17.0}",
        appends / elapsed,
        syncs / elapsed,
        appends / syncs,
        elapsed * 1e6 * appenders as f64 / appends,
    ))
}

/// Returns file operations that count the syncs of files and folders.
fn counting_ops(syncs: Arc<AtomicU64>) -> FileOps {
    let mut ops = FileOps::system();
    let folder_syncs = syncs.clone();
    let (mut sync, mut sync_folder) = (ops.sync, ops.sync_folder);
    ops.sync = Box::new(move |f| {
        syncs.fetch_add(1, Ordering::Relaxed);
        sync(f)
    });
    ops.sync_folder = Box::new(move |path| {
        folder_syncs.fetch_add(1, Ordering::Relaxed);
        sync_folder(path)
    });
    ops
}

async fn append_until(
    storage: &StorageHandle,
    next: &Cell<u64>,
    end: Instant,
) -> Result<(), StorageError> {
    while Instant::now() < end {
        // There is no await between choosing the index and the call, so calls are made in index order.
        let index = LogIndex::new(next.replace(next.get() + 1));
        let payload = EntryPayload::Command([7; COMMAND_BYTES].into());
        storage.append(vec![LogEntry { index, term: Term::new(1), payload }]).await?;
    }
    Ok(())
}
