use super::{FileOps, StorageError};
use std::fs::{self, File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};

/// The data folder, locked exclusively by this process, and the file operations on it.
pub(crate) struct Folder {
    path: Box<Path>,
    ops: FileOps,
    /// Closing the file releases the lock.
    _lock: File,
}

/// Suffix of the names of incomplete files.
pub(crate) const TEMPORARY_SUFFIX: &str = ".tmp";

/// `errno` of a failed read or write of the device.
const EIO: i32 = 5;

impl Folder {
    /// Creates the folder if it does not exist, and locks it.
    pub(crate) fn open(path: &Path, mut ops: FileOps) -> Result<Self, StorageError> {
        create_durably(path, &mut ops)?;
        let lock = lock(path)?;
        Ok(Self { path: path.into(), ops, _lock: lock })
    }

    pub(crate) fn path(&self) -> &Path {
        &self.path
    }

    pub(crate) fn join(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }

    /// Reads a whole file. `EIO` counts as corruption, so that a file on a bad sector is handled like one
    /// with a wrong checksum.
    pub(crate) fn read(&self, path: &Path) -> Result<Vec<u8>, StorageError> {
        (self.ops.read)(path).map_err(|e| match e.raw_os_error() {
            Some(EIO) => StorageError::damaged(path, 0, "the device failed to read the file (EIO)"),
            _ => StorageError::io("reading", path, &e),
        })
    }

    /// Creates or truncates a file.
    pub(crate) fn create(&mut self, path: &Path) -> Result<File, StorageError> {
        check("creation", path, (self.ops.create)(path))
    }

    /// Appends all bytes to a file.
    pub(crate) fn write(
        &mut self,
        file: &File,
        path: &Path,
        bytes: &[u8],
    ) -> Result<(), StorageError> {
        check("writing", path, (self.ops.write)(file, bytes))
    }

    /// Flushes the contents of a file to disk.
    pub(crate) fn sync(&mut self, file: &File, path: &Path) -> Result<(), StorageError> {
        check("sync", path, (self.ops.sync)(file))
    }

    /// Flushes the directory entries of the folder to disk.
    pub(crate) fn sync_folder(&mut self) -> Result<(), StorageError> {
        check("sync", &self.path, (self.ops.sync_folder)(&self.path))
    }

    /// Renames a file and syncs the folder.
    pub(crate) fn rename(&mut self, from: &Path, to: &Path) -> Result<(), StorageError> {
        check("renaming", from, (self.ops.rename)(from, to))?;
        self.sync_folder()
    }

    /// Removes a file and syncs the folder, so that later removals cannot become durable before this one.
    pub(crate) fn remove(&mut self, path: &Path) -> Result<(), StorageError> {
        check("removal", path, (self.ops.remove)(path))?;
        self.sync_folder()
    }

    /// Creates or replaces a file atomically and durably, and returns it open for appending. A reader finds
    /// either the old contents or the complete new ones.
    pub(crate) fn replace(&mut self, path: &Path, bytes: &[u8]) -> Result<File, StorageError> {
        let temporary = temporary_path(path);
        let file = self.create(&temporary)?;
        self.write(&file, &temporary, bytes)?;
        self.sync(&file, &temporary)?;
        self.rename(&temporary, path)?;
        Ok(file)
    }
}

/// Returns the path under which a file is written until it is complete.
pub(crate) fn temporary_path(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(TEMPORARY_SUFFIX);
    name.into()
}

fn check<T>(
    operation: &'static str,
    path: &Path,
    result: io::Result<T>,
) -> Result<T, StorageError> {
    result.map_err(|e| StorageError::io(operation, path, &e))
}

/// Creates a folder and its missing parents, and syncs the parent of each.
fn create_durably(path: &Path, ops: &mut FileOps) -> Result<(), StorageError> {
    if path.as_os_str().is_empty() || path.exists() {
        return Ok(());
    }
    let parent = path.parent().unwrap_or(Path::new(""));
    create_durably(parent, ops)?;
    match fs::create_dir(path) {
        // Another process created it concurrently, as happens when hosts share a parent folder.
        Err(e) if e.kind() == io::ErrorKind::AlreadyExists => {}
        result => check("creation", path, result)?,
    }
    let parent = if parent.as_os_str().is_empty() { Path::new(".") } else { parent };
    check("sync", parent, (ops.sync_folder)(parent))
}

fn lock(folder: &Path) -> Result<File, StorageError> {
    let path = folder.join("lock");
    let file = File::options().create(true).truncate(false).write(true).open(&path);
    let file = check("opening", &path, file)?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(StorageError::Locked { folder: folder.into() }),
        Err(TryLockError::Error(e)) => Err(StorageError::io("locking", &path, &e)),
    }
}
