use super::folder::TEMPORARY;
use super::{Folder, SegmentNumber, StorageError};
use masticstair_core::id::LogIndex;
use std::fs;
use std::io;
use std::path::PathBuf;

/// The files in a data folder. Files of other names are left alone.
#[derive(Debug, Default)]
pub(crate) struct Contents {
    /// Whether the folder has an identity.
    pub(crate) identity: bool,
    /// The segments in ascending order.
    pub(crate) segments: Vec<SegmentNumber>,
    /// The snapshots in ascending order.
    pub(crate) snapshots: Vec<LogIndex>,
    /// Files that were not complete when the process ended.
    pub(crate) leftovers: Vec<PathBuf>,
    /// Whether an earlier content was set aside by `repair`.
    pub(crate) set_aside: bool,
}

/// The file that holds the identity.
pub(crate) const IDENTITY: &str = "identity";

/// The folder that holds the content that `repair` set aside.
pub(crate) const SET_ASIDE: &str = "set-aside";

impl Contents {
    /// Lists the folder.
    pub(crate) fn list(folder: &Folder) -> Result<Self, StorageError> {
        let failed = |e: &io::Error| StorageError::io("listing", folder.path(), e);
        let mut contents = Self::default();
        for file in fs::read_dir(folder.path()).map_err(|e| failed(&e))? {
            let name = file.map_err(|e| failed(&e))?.file_name();
            if let Some(name) = name.to_str() {
                contents.add(folder, name);
            }
        }
        contents.segments.sort_unstable();
        contents.snapshots.sort_unstable();
        Ok(contents)
    }

    /// Returns the file name of a segment.
    pub(crate) fn segment_name(number: SegmentNumber) -> String {
        format!("wal-{:020}", number.0)
    }

    /// Returns the path of a segment.
    pub(crate) fn segment_path(folder: &Folder, number: SegmentNumber) -> PathBuf {
        folder.join(&Self::segment_name(number))
    }

    /// Returns the file name of a snapshot.
    pub(crate) fn snapshot_name(index: LogIndex) -> String {
        format!("snapshot-{:020}", index.get())
    }

    /// Returns the path of a snapshot.
    pub(crate) fn snapshot_path(folder: &Folder, index: LogIndex) -> PathBuf {
        folder.join(&Self::snapshot_name(index))
    }

    fn add(&mut self, folder: &Folder, name: &str) {
        if name == IDENTITY {
            self.identity = true;
        } else if name == SET_ASIDE {
            self.set_aside = true;
        } else if name.ends_with(TEMPORARY) {
            self.leftovers.push(folder.join(name));
        } else if let Some(number) = name.strip_prefix("wal-").and_then(|n| n.parse().ok()) {
            self.segments.push(number);
        } else if let Some(index) = name.strip_prefix("snapshot-").and_then(|n| n.parse().ok()) {
            self.snapshots.push(index);
        }
    }
}
