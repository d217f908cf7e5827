use super::folder::TEMPORARY_SUFFIX;
use super::{Folder, SegmentNumber, StorageError};
use masticstair_core::id::LogIndex;
use std::fs;
use std::io;
use std::path::PathBuf;

/// The files in a data folder. Files with unknown names are ignored.
#[derive(Debug, Default)]
pub(crate) struct FolderListing {
    pub(crate) has_identity: bool,
    /// In ascending order.
    pub(crate) segments: Vec<SegmentNumber>,
    /// Index of the last entry in each snapshot, in ascending order.
    pub(crate) snapshots: Vec<LogIndex>,
    /// Files that were incomplete when the process stopped.
    pub(crate) temporary_files: Vec<PathBuf>,
    /// Whether `repair` has set earlier contents of the folder aside.
    pub(crate) has_set_aside: bool,
}

/// Name of the file with the replica identity.
pub(crate) const IDENTITY_FILE: &str = "identity";

/// Name of the folder into which `repair` moves corrupted contents.
pub(crate) const SET_ASIDE_FOLDER: &str = "set-aside";

impl FolderListing {
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

    pub(crate) fn segment_name(number: SegmentNumber) -> String {
        format!("wal-{:020}", number.0)
    }

    pub(crate) fn segment_path(folder: &Folder, number: SegmentNumber) -> PathBuf {
        folder.join(&Self::segment_name(number))
    }

    pub(crate) fn snapshot_name(index: LogIndex) -> String {
        format!("snapshot-{:020}", index.get())
    }

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
