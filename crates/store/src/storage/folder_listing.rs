use super::folder::TEMPORARY_SUFFIX;
use super::{Folder, SegmentNumber, StorageError};
use masticstair_core::id::LogIndex;
use std::fs;
use std::io;
use std::path::PathBuf;

/// The files in a data folder. Files of other names are left alone.
#[derive(Debug, Default)]
pub(crate) struct FolderListing {
    /// Whether the folder has an identity.
    pub(crate) has_identity: bool,
    /// The segments in ascending order.
    pub(crate) segments: Vec<SegmentNumber>,
    /// The snapshots in ascending order.
    pub(crate) snapshots: Vec<LogIndex>,
    /// Files that were not complete when the process ended.
    pub(crate) temporary_files: Vec<PathBuf>,
    /// Whether an earlier content was set aside by `repair`.
    pub(crate) has_set_aside: bool,
}

/// The file that holds the identity.
pub(crate) const IDENTITY_FILE: &str = "identity";

/// The folder that holds the content that `repair` set aside.
pub(crate) const SET_ASIDE_FOLDER: &str = "set-aside";

impl FolderListing {
    /// Lists the folder.
    pub(crate) fn list(folder: &Folder) -> Result<Self, StorageError> {
        let failed = |e: &io::Error| StorageError::io("listing", folder.path(), e);
        let mut listing = Self::default();
        for file in fs::read_dir(folder.path()).map_err(|e| failed(&e))? {
            let name = file.map_err(|e| failed(&e))?.file_name();
            if let Some(name) = name.to_str() {
                listing.add(folder, name);
            }
        }
        listing.segments.sort_unstable();
        listing.snapshots.sort_unstable();
        Ok(listing)
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
        if name == IDENTITY_FILE {
            self.has_identity = true;
        } else if name == SET_ASIDE_FOLDER {
            self.has_set_aside = true;
        } else if name.ends_with(TEMPORARY_SUFFIX) {
            self.temporary_files.push(folder.join(name));
        } else if let Some(number) = name.strip_prefix("wal-").and_then(|n| n.parse().ok()) {
            self.segments.push(number);
        } else if let Some(index) = name.strip_prefix("snapshot-").and_then(|n| n.parse().ok()) {
            self.snapshots.push(index);
        }
    }
}
