use super::{
    Folder, FolderListing, LastSegment, Position, Replay, SegmentReader, StorageError, identity,
    snapshot_file,
};
use masticstair_core::id::ReplicaId;
use masticstair_core::message::SnapshotMeta;

/// The contents of a data folder, read and checked without modifying anything.
pub(crate) struct FolderScan {
    /// `None` in a folder whose creation was interrupted.
    pub(crate) identity: Option<ReplicaId>,
    pub(crate) listing: FolderListing,
    /// The newest snapshot with its data.
    pub(crate) snapshot: Option<(SnapshotMeta, Box<[u8]>)>,
    /// The result of replaying the log.
    pub(crate) replay: Replay,
    /// `None` if the folder has no segments.
    pub(crate) last_segment: Option<LastSegment>,
}

impl FolderScan {
    pub(crate) fn read(folder: &Folder) -> Result<Self, StorageError> {
        let listing = FolderListing::list(folder)?;
        let identity = match listing.has_identity {
            true => Some(identity::read(folder)?),
            false => None,
        };
        let (replay, last_segment) = read_log(folder, &listing, identity)?;
        let newest = listing.snapshots.last();
        let snapshot = newest.map(|index| snapshot_file::read(folder, *index)).transpose()?;
        let scan = Self { identity, listing, snapshot, replay, last_segment };
        scan.check(folder)?;
        Ok(scan)
    }

    /// Returns whether nothing has ever been saved in the folder, including before a repair.
    pub(crate) fn is_new(&self) -> bool {
        !self.listing.has_set_aside && self.has_no_data()
    }

    /// Returns the position of the newest snapshot, or index 0 if there is none.
    pub(crate) fn snapshot_position(&self) -> Position {
        let position =
            |(meta, _): &(SnapshotMeta, _)| Position { index: meta.index, term: meta.term };
        self.snapshot.as_ref().map_or_else(Position::default, position)
    }

    fn has_no_data(&self) -> bool {
        self.snapshot.is_none() && self.replay.is_empty()
    }

    fn check(&self, folder: &Folder) -> Result<(), StorageError> {
        let snapshot = self.snapshot_position().index;
        let log_snapshot = self.replay.snapshot.index;
        let missing = |what: String| {
            Err(StorageError::Missing { folder: folder.path().into(), what: what.into() })
        };
        if self.identity.is_none() && !self.has_no_data() {
            return missing("its identity".into());
        }
        if self.identity.is_some() && self.last_segment.is_none() {
            return missing("its log".into());
        }
        if log_snapshot > snapshot {
            return missing(format!("the snapshot at {log_snapshot}"));
        }
        let start = match self.replay.entries.first() {
            Some(entry) => entry.index.get() - 1,
            None => self.replay.terms.last().index.get(),
        };
        if start > snapshot.get() {
            return missing(format!("the log entries from {} to {start}", snapshot.get() + 1));
        }
        let last = self.replay.terms.last().index;
        if last < log_snapshot {
            return missing(format!("the log entries from {} to {log_snapshot}", last.get() + 1));
        }
        Ok(())
    }
}

fn read_log(
    folder: &Folder,
    listing: &FolderListing,
    identity: Option<ReplicaId>,
) -> Result<(Replay, Option<LastSegment>), StorageError> {
    let mut reader =
        SegmentReader { replica: identity, next_batch: None, replay: Replay::default() };
    let mut last = None;
    let mut expected = listing.segments.first().copied();
    for number in listing.segments.iter().copied() {
        if let Some(expected) = expected.filter(|expected| *expected != number) {
            let what = format!("segment {expected} of its log").into();
            return Err(StorageError::Missing { folder: folder.path().into(), what });
        }
        let is_last = listing.segments.last() == Some(&number);
        last = Some((number, reader.read(folder, number, is_last)?));
        expected = Some(number.next());
    }
    let last = last.zip(reader.next_batch);
    let last = last.map(|((number, bytes), next_batch)| LastSegment { number, bytes, next_batch });
    Ok((reader.replay, last))
}
