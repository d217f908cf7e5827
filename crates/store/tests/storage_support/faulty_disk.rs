//! A simulated disk whose operations fail on request and which loses unsynced data at a power loss.

use masticstair_store::storage::FileOps;
use std::collections::{HashMap, HashSet};
use std::fs::{self, File};
use std::io::{self, ErrorKind, Write};
use std::os::unix::fs::{FileExt, MetadataExt};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

use super::files;

/// How the selected operation fails.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The operation has no effect and returns an error (full disk).
    Full,
    /// The operation takes effect, a write only for the first half of its bytes, and returns an error.
    Partial,
}

/// What a power loss does to written bytes that were not synced.
#[derive(Clone, Copy, Debug)]
pub enum PowerLoss {
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
pub struct Disk {
    pub count: u64,
    /// The operation that fails, counted from 1; 0 for none.
    pub fail_at: u64,
    pub failed: Option<&'static str>,
    pub after_failure: Vec<&'static str>,
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
    /// Returns a disk whose operation number `fail_at` fails.
    pub fn failing_at(fail_at: u64) -> SharedDisk {
        SharedDisk::new(Mutex::new(Self { fail_at, ..Self::default() }))
    }

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

pub type SharedDisk = Arc<Mutex<Disk>>;

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

pub fn faulty_ops(disk: &SharedDisk, fault: Fault) -> FileOps {
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

pub fn lose_power(folder: &Path, disk: &SharedDisk, loss: PowerLoss) {
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
