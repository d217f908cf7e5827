use masticstair_core::id::{LogIndex, Term};
use masticstair_core::unit::ByteCount;
use std::io;
use std::path::Path;
use thiserror::Error;

/// Why the storage refused or failed a call.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum StorageError {
    /// The operating system refused a file operation. During a call, its outcome is unknown: the data may
    /// or may not be found at the next start.
    #[error("{operation} of {} failed: {message}", .path.display())]
    Io {
        /// What was attempted.
        operation: &'static str,
        /// The file or folder.
        path: Box<Path>,
        /// The kind of the system's error.
        kind: io::ErrorKind,
        /// The system's message.
        message: Box<str>,
    },
    /// An earlier write or sync failed. The storage stays failed until the process opens it again.
    #[error("storage accepts no more work after its first failure: {cause}")]
    Failed {
        /// The first failure.
        cause: Box<str>,
    },
    /// Another process holds the data folder.
    #[error("data folder {} is locked by another process", .folder.display())]
    Locked {
        /// The data folder.
        folder: Box<Path>,
    },
    /// A file holds something other than what was synced.
    #[error("{} is damaged at byte {offset}: {reason}", .file.display())]
    Damaged {
        /// The file.
        file: Box<Path>,
        /// Where the damaged part begins.
        offset: ByteCount,
        /// What was found.
        reason: Box<str>,
    },
    /// A file that must exist is not there.
    #[error("data folder {} lacks {what}", .folder.display())]
    Missing {
        /// The data folder.
        folder: Box<Path>,
        /// The missing part.
        what: Box<str>,
    },
    /// The entries leave a gap.
    #[error("entry {index} does not follow the last entry {last}")]
    Gap {
        /// The refused entry.
        index: LogIndex,
        /// The entry before it.
        last: LogIndex,
    },
    /// The entries would overwrite what a snapshot contains.
    #[error("entry {index} is already part of the snapshot at {snapshot}")]
    InSnapshot {
        /// The refused entry.
        index: LogIndex,
        /// The last entry of the snapshot.
        snapshot: LogIndex,
    },
    /// One call carries too much.
    #[error("{what} has {size} bytes; the limit is {limit}")]
    TooLarge {
        /// What is too large.
        what: &'static str,
        /// Its size.
        size: ByteCount,
        /// The largest size that is accepted.
        limit: ByteCount,
    },
    /// The term would fall, or the vote of a term would change.
    #[error("hard state of term {given} contradicts the saved one of term {saved}")]
    HardStateConflict {
        /// The refused term.
        given: Term,
        /// The saved term.
        saved: Term,
    },
    /// A snapshot does not reach beyond the current one.
    #[error("snapshot at {index} does not reach beyond the saved one at {saved}")]
    StaleSnapshot {
        /// The refused snapshot.
        index: LogIndex,
        /// The saved snapshot.
        saved: LogIndex,
    },
    /// A value could not be encoded.
    #[error("encoding of {what} failed: {message}")]
    Encoding {
        /// The value.
        what: &'static str,
        /// The message of the encoder.
        message: Box<str>,
    },
    /// The data of a snapshot does not have the size that its description states.
    #[error("snapshot data has {size} bytes; its description states {stated}")]
    SnapshotSize {
        /// The size of the data.
        size: ByteCount,
        /// The size in the description.
        stated: ByteCount,
    },
    /// `repair` was called for a folder without damage.
    #[error("data folder {} is not damaged, so it is not repaired", .folder.display())]
    NotDamaged {
        /// The data folder.
        folder: Box<Path>,
    },
    /// The storage thread has ended.
    #[error("storage is closed")]
    Closed,
}

impl StorageError {
    /// Wraps an error of the operating system.
    pub(crate) fn io(operation: &'static str, path: &Path, e: &io::Error) -> Self {
        Self::Io { operation, path: path.into(), kind: e.kind(), message: e.to_string().into() }
    }

    /// Reports damage at a byte of a file.
    pub(crate) fn damaged(file: &Path, offset: usize, reason: impl Into<Box<str>>) -> Self {
        let offset = ByteCount::new(offset as u64);
        Self::Damaged { file: file.into(), offset, reason: reason.into() }
    }
}
