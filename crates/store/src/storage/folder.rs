use super::{FileOps, StorageError};
use std::fs::{self, File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};

/// The data folder, locked against other processes, with the operations that change it.
pub(crate) struct Folder {
    path: Box<Path>,
    ops: FileOps,
    /// Closing the file releases the lock.
    _lock: File,
}

/// Ends the names of files that are not yet complete.
pub(crate) const TEMPORARY_SUFFIX: &str = ".tmp";

/// The system's error number for a disk that cannot read or write a sector.
const EIO: i32 = 5;

impl Folder {
    /// Creates the folder if there is none, and locks it.
    pub(crate) fn open(path: &Path, mut ops: FileOps) -> Result<Self, StorageError> {
        create_durably(path, &mut ops)?;
        let lock = lock(path)?;
        Ok(Self { path: path.into(), ops, _lock: lock })
    }

    /// Returns the path of the folder.
    pub(crate) fn path(&self) -> &Path {
        &self.path
    }

    /// Returns the path of a file in the folder.
    pub(crate) fn join(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }

    /// Reads a whole file.
    pub(crate) fn read(&self, path: &Path) -> Result<Vec<u8>, StorageError> {
        (self.ops.read)(path).map_err(|e| match e.raw_os_error() {
            Some(EIO) => StorageError::damaged(path, 0, "the disk cannot read the file"),
            _ => StorageError::io("reading", path, &e),
        })
    }

    /// Creates an empty file.
    pub(crate) fn create(&mut self, path: &Path) -> Result<File, StorageError> {
        check("creation", path, (self.ops.create)(path))
    }

    /// Writes all bytes at the end of a file.
    pub(crate) fn write(
        &mut self,
        file: &File,
        path: &Path,
        bytes: &[u8],
    ) -> Result<(), StorageError> {
        check("writing", path, (self.ops.write)(file, bytes))
    }

    /// Makes the content of a file durable.
    pub(crate) fn sync(&mut self, file: &File, path: &Path) -> Result<(), StorageError> {
        check("sync", path, (self.ops.sync)(file))
    }

    /// Makes the names in the folder durable.
    pub(crate) fn sync_names(&mut self) -> Result<(), StorageError> {
        check("sync", &self.path, (self.ops.sync_folder)(&self.path))
    }

    /// Renames a file durably.
    pub(crate) fn rename(&mut self, from: &Path, to: &Path) -> Result<(), StorageError> {
        check("renaming", from, (self.ops.rename)(from, to))?;
        self.sync_names()
    }

    /// Removes a file durably, so that the removals that follow cannot take effect before this one.
    pub(crate) fn remove(&mut self, path: &Path) -> Result<(), StorageError> {
        check("removal", path, (self.ops.remove)(path))?;
        self.sync_names()
    }

    /// Durably makes or replaces a file; returns it open for appending. A reader finds either the complete
    /// new content or what was there before.
    pub(crate) fn replace(&mut self, path: &Path, bytes: &[u8]) -> Result<File, StorageError> {
        let temporary = temporary_path(path);
        let file = self.create(&temporary)?;
        self.write(&file, &temporary, bytes)?;
        self.sync(&file, &temporary)?;
        self.rename(&temporary, path)?;
        Ok(file)
    }
}

/// Returns the name under which a file is written before it is complete.
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

/// Creates a folder and its missing parents, and syncs the folder of each.
fn create_durably(path: &Path, ops: &mut FileOps) -> Result<(), StorageError> {
    if path.as_os_str().is_empty() || path.exists() {
        return Ok(());
    }
    let parent = path.parent().unwrap_or(Path::new(""));
    create_durably(parent, ops)?;
    match fs::create_dir(path) {
        // Another process made it at the same time, as hosts with a common parent folder do.
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
