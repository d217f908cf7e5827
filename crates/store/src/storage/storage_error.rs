use masticstair_core::id::{LogIndex, Term};
use masticstair_core::unit::ByteCount;
use std::io;
use std::path::Path;
use thiserror::Error;

/// The reason why the storage rejected a call or failed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum StorageError {
    /// A file operation failed. The outcome of a write call is then unknown: recovery may or may not find its
    /// data at the next start.
    #[error("{operation} of {} failed: {message}", .path.display())]
    Io {
        /// The attempted operation, as a noun.
        operation: &'static str,
        /// The file or folder that the operation was applied to.
        path: Box<Path>,
        /// The kind of the operating system error.
        kind: io::ErrorKind,
        /// The message of the operating system error.
        message: Box<str>,
    },
    /// An earlier file operation failed. The storage rejects all further writes until it is reopened.
    #[error("storage accepts no more work after its first failure: {cause}")]
    Failed {
        /// The message of the first failure.
        cause: Box<str>,
    },
    /// Another process has locked the data folder.
    #[error("data folder {} is locked by another process", .folder.display())]
    Locked {
        /// The data folder.
        folder: Box<Path>,
    },
    /// A file is corrupted: its contents differ from what was synced.
    #[error("{} is damaged at byte {offset}: {reason}", .file.display())]
    Damaged {
        /// The corrupted file.
        file: Box<Path>,
        /// Offset of the batch or record in which the corruption was found.
        offset: ByteCount,
        /// The check that failed.
        reason: Box<str>,
    },
    /// A file or a range of log entries that must exist is missing.
    #[error("data folder {} lacks {what}", .folder.display())]
    Missing {
        /// The data folder.
        folder: Box<Path>,
        /// The missing file or entries.
        what: Box<str>,
    },
    /// The entries would leave a gap in the log.
    #[error("entry {index} does not follow the last entry {last}")]
    Gap {
        /// Index of the rejected entry.
        index: LogIndex,
        /// Index of the last entry before it.
        last: LogIndex,
    },
    /// The entries would overwrite entries that are already part of the snapshot.
    #[error("entry {index} is already part of the snapshot at {snapshot}")]
    InSnapshot {
        /// Index of the rejected entry.
        index: LogIndex,
        /// Index of the last entry in the snapshot.
        snapshot: LogIndex,
    },
    /// An entry or the entries of a call exceed the size limit.
    #[error("{what} has {size} bytes; the limit is {limit}")]
    TooLarge {
        /// The value that is too large.
        what: &'static str,
        /// Its size; for an append, the size up to the entry that exceeds the limit.
        size: ByteCount,
        /// The maximum size.
        limit: ByteCount,
    },
    /// The term would decrease, or the vote would change within its term.
    #[error("hard state of term {given} contradicts the saved one of term {saved}")]
    HardStateConflict {
        /// The rejected term.
        given: Term,
        /// The saved term.
        saved: Term,
    },
    /// The snapshot is not newer than the current one.
    #[error("snapshot at {index} does not reach beyond the saved one at {saved}")]
    StaleSnapshot {
        /// Index of the last entry in the rejected snapshot.
        index: LogIndex,
        /// Index of the last entry in the current snapshot.
        saved: LogIndex,
    },
    /// A value could not be encoded.
    #[error("encoding of {what} failed: {message}")]
    Encoding {
        /// The value.
        what: &'static str,
        /// The message of the JSON encoder.
        message: Box<str>,
    },
    /// The data of a snapshot does not have the size in its metadata.
    #[error("snapshot data has {size} bytes; its description states {stated}")]
    SnapshotSize {
        /// The actual size of the data.
        size: ByteCount,
        /// The size in the metadata.
        stated: ByteCount,
    },
    /// `repair` was called for a folder whose contents are valid.
    #[error("data folder {} is not damaged; nothing to repair", .folder.display())]
    NotDamaged {
        /// The data folder.
        folder: Box<Path>,
    },
    /// The thread that opens the folder cannot be started.
    #[error("cannot start a thread to open the data folder: {message}")]
    Thread {
        /// The message of the operating system error.
        message: Box<str>,
    },
    /// The storage thread has stopped.
    #[error("storage is closed")]
    Closed,
}

impl StorageError {
    /// Returns whether the cause may pass without a change of the settings, as a full disk does.
    pub(crate) fn may_pass(&self) -> bool {
        let Self::Io { kind, .. } = self else { return false };
        !matches!(
            kind,
            io::ErrorKind::AlreadyExists
                | io::ErrorKind::InvalidInput
                | io::ErrorKind::IsADirectory
                | io::ErrorKind::NotADirectory
                | io::ErrorKind::NotFound
                | io::ErrorKind::PermissionDenied
                | io::ErrorKind::ReadOnlyFilesystem
                | io::ErrorKind::Unsupported
        )
    }

    pub(crate) fn io(operation: &'static str, path: &Path, e: &io::Error) -> Self {
        Self::Io { operation, path: path.into(), kind: e.kind(), message: e.to_string().into() }
    }

    pub(crate) fn damaged(file: &Path, offset: usize, reason: impl Into<Box<str>>) -> Self {
        let offset = ByteCount::new(offset as u64);
        Self::Damaged { file: file.into(), offset, reason: reason.into() }
    }
}
