use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;

/// An operation on a path.
pub type PathOp<T> = Box<dyn FnMut(&Path) -> io::Result<T> + Send>;

/// An operation that returns the contents of a file.
pub type ReadOp = Box<dyn Fn(&Path) -> io::Result<Vec<u8>> + Send>;

/// An operation that moves a file from the first path to the second.
pub type RenameOp = Box<dyn FnMut(&Path, &Path) -> io::Result<()> + Send>;

/// An operation on an open file.
pub type SyncOp = Box<dyn FnMut(&File) -> io::Result<()> + Send>;

/// An operation that writes bytes to an open file.
pub type WriteOp = Box<dyn FnMut(&File, &[u8]) -> io::Result<()> + Send>;

/// The file operations that the storage performs in the data folder. Tests replace individual closures to
/// inject faults.
pub struct FileOps {
    /// Creates a file for writing; truncates an existing one.
    pub create: PathOp<File>,
    /// Reads a whole file.
    pub read: ReadOp,
    /// Removes a file.
    pub remove: PathOp<()>,
    /// Renames a file; an existing target is replaced.
    pub rename: RenameOp,
    /// Flushes the contents and the size of a file to disk.
    pub sync: SyncOp,
    /// Flushes the directory entries of a folder to disk.
    pub sync_folder: PathOp<()>,
    /// Appends all bytes to a file.
    pub write: WriteOp,
}

impl FileOps {
    /// Returns the operations of the operating system.
    pub fn system() -> Self {
        Self {
            create: Box::new(|path| File::create(path)),
            read: Box::new(|path| fs::read(path)),
            remove: Box::new(|path| fs::remove_file(path)),
            rename: Box::new(|from, to| fs::rename(from, to)),
            // fdatasync also flushes a changed file size, which is the only metadata that an append changes.
            sync: Box::new(|file| file.sync_data()),
            sync_folder: Box::new(|path| File::open(path)?.sync_all()),
            write: Box::new(|mut file, bytes| file.write_all(bytes)),
        }
    }
}
