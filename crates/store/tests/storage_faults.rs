//! Fault injection: each file operation of a long run fails once, in several ways and with several kinds of
//! power loss. Guards against calls that complete before their sync, calls that succeed after a failure, and
//! states of the folder that recovery rejects or reads incorrectly.

#![allow(clippy::expect_used, clippy::unwrap_used, reason = "a failure must end the test")]

mod storage_support;

use masticstair_store::storage::{FileOps, Recovered, StorageError};
use std::collections::{HashMap, HashSet};
use std::fs::{self, File};
use std::io::{self, ErrorKind, Write};
use std::os::unix::fs::{FileExt, MetadataExt};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use storage_support::Step::{Append, HardState, Snapshot};
use storage_support::{Model, Step, call, files, open_small, wait};

/// How the selected operation fails.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// The operation has no effect and returns an error (full disk).
    Full,
    /// The operation takes effect, a write only for the first half of its bytes, and returns an error.
    Partial,
}

/// What a power loss does to written bytes that were not synced.
#[derive(Clone, Copy, Debug)]
enum PowerLoss {
    Nothing,
    All,
    Half,
    /// The file keeps its size, and the bytes read as zeros.
    Zeros,
    /// The file keeps its size, and all but the first sector of the bytes read as zeros.
    LaterSectors,
}

/// A simulated disk: counts operations and tracks how much of each file is synced.
#[derive(Debug, Default)]
struct Disk {
    count: u64,
    fail_at: u64,
    failed: Option<&'static str>,
    after_failure: Vec<&'static str>,
    /// The synced size of each inode.
    synced: HashMap<u64, u64>,
    /// Inodes whose sync failed. As on Linux, a later sync succeeds without writing the lost data.
    sync_failed: HashSet<u64>,
    /// Changes of directory entries since the last sync of the folder.
    unsynced_names: Vec<NameChange>,
}

/// A change of a directory entry, with the data needed to revert it.
#[derive(Debug)]
enum NameChange {
    /// Source and target path, and a hard link to the replaced file if there was one.
    Rename(PathBuf, PathBuf, Option<PathBuf>),
    /// Path of the removed file, and a hard link to it.
    Remove(PathBuf, PathBuf),
}

impl Disk {
    fn fails(&mut self, operation: &'static str) -> bool {
        if self.failed.is_some() {
            self.after_failure.push(operation);
        }
        self.count += 1;
        let fails = self.count == self.fail_at;
        if fails {
            self.failed = Some(operation);
        }
        fails
    }
}

type SharedDisk = Arc<Mutex<Disk>>;

fn step<T>(
    disk: &SharedDisk,
    operation: &'static str,
    fault: Fault,
    act: impl FnOnce(bool) -> io::Result<T>,
) -> io::Result<T> {
    let fails = disk.lock().unwrap().fails(operation);
    let error = || io::Error::from(ErrorKind::StorageFull);
    match (fails, fault) {
        (false, _) => act(false),
        (true, Fault::Full) => Err(error()),
        (true, Fault::Partial) => act(true).and_then(|_| Err(error())),
    }
}

fn faulty_ops(disk: &SharedDisk, fault: Fault) -> FileOps {
    let d = || disk.clone();
    let (create, remove, rename, sync, folder, write) = (d(), d(), d(), d(), d(), d());
    FileOps {
        create: Box::new(move |p| step(&create, "create", fault, |_| create_file(&create, p))),
        read: Box::new(|p| fs::read(p)),
        remove: Box::new(move |p| step(&remove, "remove", fault, |_| remove_file(&remove, p))),
        rename: Box::new(move |a, b| {
            step(&rename, "rename", fault, |_| rename_file(&rename, a, b))
        }),
        sync: Box::new(move |f| sync_file(&sync, f)),
        sync_folder: Box::new(move |_| {
            // As for a file, a failed sync makes nothing durable.
            step(&folder, "sync_folder", Fault::Full, |_| {
                folder.lock().unwrap().unsynced_names.clear();
                Ok(())
            })
        }),
        write: Box::new(move |mut f, bytes| {
            step(&write, "write", fault, |half| {
                f.write_all(if half { &bytes[..bytes.len() / 2] } else { bytes })
            })
        }),
    }
}

fn create_file(disk: &SharedDisk, path: &Path) -> io::Result<File> {
    let file = File::create(path)?;
    let inode = file.metadata()?.ino();
    let mut disk = disk.lock().unwrap();
    disk.synced.remove(&inode);
    disk.sync_failed.remove(&inode);
    Ok(file)
}

fn sync_file(disk: &SharedDisk, file: &File) -> io::Result<()> {
    let meta = file.metadata()?;
    let result = step(disk, "sync", Fault::Full, |_| Ok(()));
    let mut disk = disk.lock().unwrap();
    if result.is_err() {
        disk.sync_failed.insert(meta.ino());
    } else if !disk.sync_failed.contains(&meta.ino()) {
        disk.synced.insert(meta.ino(), meta.len());
    }
    result
}

/// Creates a hard link to a file under a name that recovery ignores, so that the file can be restored.
fn keep_inode(path: &Path) -> Option<PathBuf> {
    let inode = fs::metadata(path).ok()?.ino();
    let name = path.with_file_name(format!("kept-{inode}"));
    (name.exists() || fs::hard_link(path, &name).is_ok()).then_some(name)
}

fn rename_file(disk: &SharedDisk, from: &Path, to: &Path) -> io::Result<()> {
    let change = NameChange::Rename(from.into(), to.into(), keep_inode(to));
    disk.lock().unwrap().unsynced_names.push(change);
    fs::rename(from, to)
}

fn remove_file(disk: &SharedDisk, path: &Path) -> io::Result<()> {
    let change = NameChange::Remove(path.into(), keep_inode(path).unwrap());
    disk.lock().unwrap().unsynced_names.push(change);
    fs::remove_file(path)
}

/// Reverts changes of directory entries that were not synced. `Half` reverts only the oldest one, because a
/// file system may write them in any order.
fn revert_unsynced_names(disk: &SharedDisk, loss: PowerLoss) {
    if matches!(loss, PowerLoss::Nothing) {
        return;
    }
    let mut changes = std::mem::take(&mut disk.lock().unwrap().unsynced_names);
    if matches!(loss, PowerLoss::Half) {
        changes.truncate(1);
    }
    for change in changes.into_iter().rev() {
        match change {
            NameChange::Rename(from, to, replaced) => {
                fs::rename(&to, from).unwrap();
                replaced.iter().for_each(|kept| fs::hard_link(kept, &to).unwrap());
            }
            NameChange::Remove(path, kept) => fs::hard_link(kept, path).unwrap(),
        }
    }
}

fn lose_power(folder: &Path, disk: &SharedDisk, loss: PowerLoss) {
    revert_unsynced_names(disk, loss);
    for path in files(folder, "wal-").into_iter().chain(files(folder, "snapshot-")) {
        let file = File::options().write(true).open(&path).unwrap();
        let meta = file.metadata().unwrap();
        let synced = disk.lock().unwrap().synced.get(&meta.ino()).copied().unwrap_or(0);
        let lost = meta.len().saturating_sub(synced);
        match loss {
            PowerLoss::Nothing => {}
            PowerLoss::All => file.set_len(synced).unwrap(),
            PowerLoss::Half => file.set_len(synced + lost / 2).unwrap(),
            PowerLoss::Zeros => file.write_all_at(&vec![0; lost as usize], synced).unwrap(),
            PowerLoss::LaterSectors => {
                let from = (synced + 1).next_multiple_of(512).min(meta.len());
                file.write_all_at(&vec![0; (meta.len() - from) as usize], from).unwrap();
            }
        }
    }
}

const STEPS: &[Step] = &[
    HardState(1, 1),
    Append(1, 10, 1),
    Append(8, 12, 2),
    HardState(2, 0),
    Snapshot(6, 1),
    Append(13, 20, 2),
    HardState(3, 2),
    Append(15, 16, 3),
    Snapshot(16, 3),
    Append(17, 30, 3),
    Append(31, 45, 3),
    Snapshot(50, 4),
    Append(51, 60, 4),
    Snapshot(55, 9),
    Append(56, 58, 9),
];

/// Runs the steps until one fails; returns the models before and after the failed step. Recovery may find
/// either.
fn run_until_failure(folder: &Path, disk: &SharedDisk, fault: Fault, name: &str) -> [Model; 2] {
    let mut before = Model::default();
    let Ok((storage, _)) = open_small(folder, faulty_ops(disk, fault)) else {
        return [before.clone(), before];
    };
    for step in STEPS {
        let mut after = before.clone();
        after.apply(*step);
        if let Err(e) = wait(call(&storage, *step)) {
            assert!(matches!(e, StorageError::Io { .. }), "{name}: {e}");
            for step in [Append(1, 1, 1), HardState(9, 9), Snapshot(90, 9)] {
                let later = wait(call(&storage, step));
                assert!(matches!(later, Err(StorageError::Failed { .. })), "{name}: {later:?}");
            }
            wait(storage.close()).unwrap();
            return [before, after];
        }
        before = after;
    }
    wait(storage.close()).unwrap();
    [before.clone(), before]
}

/// Reopens the folder without faults, adds entries, loses power again, and checks that recovery finds them.
/// Returns the state found by the first recovery.
fn reopen(folder: &Path, disk: &SharedDisk, name: &str) -> Recovered {
    disk.lock().unwrap().fail_at = 0;
    let opened = open_small(folder, faulty_ops(disk, Fault::Full));
    let (storage, recovered) = opened.unwrap_or_else(|e| panic!("{name}: {e}"));
    let mut model = Model::of(&recovered);
    let last = model.entries.last().map_or(model.snapshot.0, |e| e.index.get());
    for step in [Append(last + 1, last + 3, 9), Append(last + 2, last + 2, 10), HardState(11, 3)] {
        wait(call(&storage, step)).unwrap_or_else(|e| panic!("{name}: {step:?}: {e}"));
        model.apply(step);
    }
    wait(storage.close()).unwrap();
    lose_power(folder, disk, PowerLoss::All);
    let (storage, again) = open_small(folder, faulty_ops(disk, Fault::Full)).unwrap();
    wait(storage.close()).unwrap();
    assert_eq!(
        Model::of(&again),
        model,
        "{name}: recovery does not find what was added after the first one"
    );
    recovered
}

#[test]
fn every_operation_fails_once() {
    let losses = [
        PowerLoss::Nothing,
        PowerLoss::All,
        PowerLoss::Half,
        PowerLoss::Zeros,
        PowerLoss::LaterSectors,
    ];
    let mut kinds = HashMap::<&str, u64>::new();
    for (fault, loss) in
        [Fault::Full, Fault::Partial].into_iter().flat_map(|f| losses.map(|l| (f, l)))
    {
        for fail_at in 1.. {
            let folder = tempfile::tempdir().unwrap();
            let disk = SharedDisk::new(Mutex::new(Disk { fail_at, ..Disk::default() }));
            let name = format!("{fault:?}, {loss:?}, operation {fail_at}");
            let expected = run_until_failure(folder.path(), &disk, fault, &name);
            let failed = disk.lock().unwrap().failed;
            let later = std::mem::take(&mut disk.lock().unwrap().after_failure);
            assert!(later.is_empty(), "{name}: {later:?} ran after {failed:?} had failed");
            lose_power(folder.path(), &disk, loss);
            let found = Model::of(&reopen(folder.path(), &disk, &name));
            assert!(
                expected.contains(&found),
                "{name} ({failed:?}): {found:?} not in {expected:?}"
            );
            let Some(kind) = failed else { break };
            *kinds.entry(kind).or_default() += 1;
        }
    }
    println!("faults injected: {kinds:?}");
    for kind in ["create", "remove", "rename", "sync", "sync_folder", "write"] {
        assert!(kinds.contains_key(kind), "no {kind} failed");
    }
}
