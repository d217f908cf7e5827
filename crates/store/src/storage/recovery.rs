//! Recovery: checks the data folder, completes interrupted operations, and reopens the log for writing.

use super::log_writer::encode_segment_start;
use super::{
    ActiveSegment, BatchNumber, Folder, FolderListing, FolderScan, LastSegment, LogWriter,
    Position, Recovered, SegmentHeader, SegmentNumber, StorageError, identity,
};
use masticstair_core::id::ReplicaId;
use masticstair_core::message::HardState;

/// Recovers the data folder; returns a writer that continues the log, and the recovered state.
pub(crate) fn recover(
    mut folder: Folder,
    segment_limit_bytes: u64,
) -> Result<(LogWriter, Recovered), StorageError> {
    let mut scan = FolderScan::read(&folder)?;
    for path in &scan.listing.temporary_files {
        folder.remove(path)?;
    }
    if scan.identity.is_none() {
        create_log(&mut folder)?;
        scan = FolderScan::read(&folder)?;
    }
    resume(folder, segment_limit_bytes, scan)
}

/// Creates the first segment and then the identity, so that a folder with an identity always has a log.
fn create_log(folder: &mut Folder) -> Result<(), StorageError> {
    // A segment 1 without an identity file remains from an interrupted creation. It is replaced, and the
    // identity in its header is never used.
    let (number, replica) = (SegmentNumber(1), ReplicaId::random());
    let header = SegmentHeader { number, first_batch: BatchNumber(1), replica };
    let bytes = encode_segment_start(
        header,
        &HardState::default(),
        Position::default(),
        Position::default(),
    );
    let path = FolderListing::segment_path(folder, number);
    folder.replace(&path, &bytes)?;
    identity::write(folder, replica)
}

fn resume(
    mut folder: Folder,
    segment_limit_bytes: u64,
    scan: FolderScan,
) -> Result<(LogWriter, Recovered), StorageError> {
    let is_new = scan.is_new();
    let snapshot_at = scan.snapshot_position();
    let (Some(identity), Some(last)) = (scan.identity, scan.last_segment) else {
        let folder = folder.path().into();
        return Err(StorageError::Missing { folder, what: "its identity or log".into() });
    };
    let segment = rewrite_last_segment(&mut folder, last)?;
    let mut writer = LogWriter::new(folder, identity, segment_limit_bytes, segment, &scan.replay);
    if snapshot_at != writer.snapshot() {
        writer.install_snapshot(snapshot_at)?;
    } else {
        writer.compact()?;
    }
    let (after, last) = (snapshot_at.index, writer.last().index);
    let mut entries = scan.replay.entries;
    entries.retain(|entry| entry.index > after && entry.index <= last);
    let hard_state = scan.replay.hard_state;
    Ok((writer, Recovered { identity, is_new, hard_state, snapshot: scan.snapshot, entries }))
}

/// Replaces the last segment with a copy of its valid part, which truncates a torn tail.
///
/// The copy also ensures that the contents are durable: if a sync failed in an earlier run, the data that a
/// read returns may exist only in the page cache, and another sync would succeed without writing it. The
/// same applies to the directory entries, so the folder is synced as well.
fn rewrite_last_segment(
    folder: &mut Folder,
    last: LastSegment,
) -> Result<ActiveSegment, StorageError> {
    let path = FolderListing::segment_path(folder, last.number);
    let file = folder.replace(&path, &last.bytes)?;
    let size = last.bytes.len() as u64;
    Ok(ActiveSegment { file, number: last.number, size, next_batch: last.next_batch })
}
