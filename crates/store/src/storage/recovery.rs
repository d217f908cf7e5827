//! The start of the storage: check the folder, end what was interrupted, and continue the log.

use super::log_writer::first_bytes;
use super::{
    BatchNumber, Contents, Folder, LastSegment, LogWriter, OpenSegment, Position, Recovered, Scan,
    SegmentHeader, SegmentNumber, StorageError, identity,
};
use masticstair_core::id::ReplicaId;
use masticstair_core::message::HardState;

/// Brings the folder into a state that a writer can continue.
pub(crate) fn recover(
    mut folder: Folder,
    segment_limit: u64,
) -> Result<(LogWriter, Recovered), StorageError> {
    let mut scan = Scan::read(&folder)?;
    for path in &scan.contents.leftovers {
        folder.remove(path)?;
    }
    if scan.identity.is_none() {
        create(&mut folder)?;
        scan = Scan::read(&folder)?;
    }
    resume(folder, segment_limit, scan)
}

/// Makes the first segment and then the identity, so that an identity always has a log.
fn create(folder: &mut Folder) -> Result<(), StorageError> {
    // A segment 1 without an identity is left of a creation that did not end. It is replaced, and its
    // identity is never used.
    let (number, replica) = (SegmentNumber(1), ReplicaId::random());
    let header = SegmentHeader { number, first_batch: BatchNumber(1), replica };
    let bytes =
        first_bytes(header, &HardState::default(), Position::default(), Position::default());
    let path = Contents::segment_path(folder, number);
    folder.replace(&path, &bytes)?;
    identity::write(folder, replica)
}

fn resume(
    mut folder: Folder,
    segment_limit: u64,
    scan: Scan,
) -> Result<(LogWriter, Recovered), StorageError> {
    let new = scan.is_untouched();
    let snapshot_at = scan.snapshot_position();
    let (Some(identity), Some(last)) = (scan.identity, scan.last) else {
        let folder = folder.path().into();
        return Err(StorageError::Missing { folder, what: "its identity or log".into() });
    };
    let segment = rewrite(&mut folder, last)?;
    let mut writer = LogWriter::new(folder, identity, segment_limit, segment, &scan.replay);
    if snapshot_at != writer.snapshot() {
        writer.install(snapshot_at)?;
    } else {
        writer.delete_obsolete()?;
    }
    let (after, last) = (snapshot_at.index, writer.last().index);
    let mut entries = scan.replay.entries;
    entries.retain(|entry| entry.index > after && entry.index <= last);
    let hard_state = scan.replay.hard_state;
    Ok((writer, Recovered { identity, new, hard_state, snapshot: scan.snapshot, entries }))
}

/// Replaces the last segment with a copy of its valid part. This cuts off a torn end. It also makes sure
/// that the content is on the disk: after a failed sync in an earlier run, what a read finds can be in
/// memory only, and another sync would wrongly succeed. The same holds for the names in the folder, which
/// are synced here too.
fn rewrite(folder: &mut Folder, last: LastSegment) -> Result<OpenSegment, StorageError> {
    let path = Contents::segment_path(folder, last.number);
    let file = folder.replace(&path, &last.bytes)?;
    let size = last.bytes.len() as u64;
    Ok(OpenSegment { file, number: last.number, size, next_batch: last.next_batch })
}
