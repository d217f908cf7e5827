use super::folder_listing::{IDENTITY_FILE, SET_ASIDE_FOLDER};
use super::{FileOps, Folder, FolderListing, FolderScan, StorageError};
use std::fs;
use std::path::Path;

/// Moves the contents of a corrupted data folder aside, so that the next `open` generates a new identity and
/// the process can rejoin as a new replica. Returns the folder that holds the old contents.
///
/// Only the contents set aside by the latest repair are kept. An interrupted repair is completed by calling
/// `repair` again; until then `open` rejects the folder.
///
/// # Errors
///
/// `NotDamaged` if the contents are valid, `Locked` if a process uses the folder, and `Io`.
pub fn repair(path: &Path) -> Result<Box<Path>, StorageError> {
    let mut folder = Folder::open(path, FileOps::system())?;
    match FolderScan::read(&folder) {
        Err(StorageError::Damaged { .. } | StorageError::Missing { .. }) => {}
        // Other errors do not show that the contents are corrupted, so they stay in place.
        Err(e) => return Err(e),
        Ok(_) => return Err(StorageError::NotDamaged { folder: path.into() }),
    }
    let listing = FolderListing::list(&folder)?;
    let target = folder.join(SET_ASIDE_FOLDER);
    if listing.has_identity && listing.has_set_aside {
        let removed = fs::remove_dir_all(&target);
        removed.map_err(|e| StorageError::io("removal", &target, &e))?;
    }
    fs::create_dir_all(&target).map_err(|e| StorageError::io("creation", &target, &e))?;
    folder.sync_folder()?;
    for name in names_in_order(&listing) {
        folder.rename(&folder.join(&name), &target.join(&name))?;
    }
    sync(&target)?;
    Ok(target.into())
}

/// Returns the names of the files to move, in order. The identity comes first, so that an interrupted repair
/// never leaves it with only a part of its log.
fn names_in_order(listing: &FolderListing) -> Vec<String> {
    let identity = listing.has_identity.then(|| IDENTITY_FILE.to_owned());
    let segments = listing.segments.iter().map(|n| FolderListing::segment_name(*n));
    let snapshots = listing.snapshots.iter().map(|i| FolderListing::snapshot_name(*i));
    identity.into_iter().chain(segments).chain(snapshots).collect()
}

fn sync(folder: &Path) -> Result<(), StorageError> {
    let result = fs::File::open(folder).and_then(|f| f.sync_all());
    result.map_err(|e| StorageError::io("sync", folder, &e))
}
