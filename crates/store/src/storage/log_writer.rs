use super::entry_encoding::{check_hard_state, check_order, encode_entries, encode_hard_state};
use super::{
    ActiveSegment, BatchHeader, BatchNumber, Folder, FolderListing, Position, Record, RecordKind,
    Replay, SegmentHeader, SegmentNumber, SegmentSpan, StorageError, TermRuns,
};
use masticstair_core::id::{LogIndex, ReplicaId};
use masticstair_core::message::{HardState, LogEntry};
use std::collections::VecDeque;
use std::fs::File;
use std::path::PathBuf;

/// Appends to the write-ahead log. Entries and hard states are staged into a batch, which one write and one
/// sync make durable.
///
/// The in-memory state includes staged records. After a failed commit it no longer matches the disk, and the
/// writer must not be used again.
pub(crate) struct LogWriter {
    pub(crate) folder: Folder,
    replica: ReplicaId,
    /// The active segment.
    file: File,
    path: PathBuf,
    size: u64,
    /// File size from which the log rotates to a new segment.
    segment_limit_bytes: u64,
    /// All segments in ascending order, the active one last; never empty.
    spans: VecDeque<SegmentSpan>,
    next_batch: BatchNumber,
    hard_state: HardState,
    /// Position of the current snapshot; index 0 if there is none.
    snapshot: Position,
    terms: TermRuns,
    /// The staged batch: space reserved for its header, then records.
    buf: Vec<u8>,
}

impl LogWriter {
    /// Creates a writer that continues a replayed log.
    pub(crate) fn new(
        folder: Folder,
        replica: ReplicaId,
        segment_limit_bytes: u64,
        active: ActiveSegment,
        replay: &Replay,
    ) -> Self {
        Self {
            replica,
            file: active.file,
            path: FolderListing::segment_path(&folder, active.number),
            size: active.size,
            segment_limit_bytes,
            spans: replay.spans.clone(),
            next_batch: active.next_batch,
            hard_state: replay.hard_state,
            snapshot: replay.snapshot,
            terms: replay.terms.clone(),
            buf: vec![0; BatchHeader::SIZE_BYTES],
            folder,
        }
    }

    /// Returns the position of the current snapshot, or index 0 if there is none.
    pub(crate) fn snapshot(&self) -> Position {
        self.snapshot
    }

    /// Returns the number of staged bytes, without the batch header.
    pub(crate) fn staged(&self) -> usize {
        self.buf.len() - BatchHeader::SIZE_BYTES
    }

    /// Starts a new segment if the active one has reached its size limit. A batch never spans segments, so
    /// this does nothing while records are staged.
    fn rotate_if_full(&mut self) -> Result<(), StorageError> {
        if self.staged() > 0 || self.size < self.segment_limit_bytes {
            return Ok(());
        }
        let number = self.last_segment().next();
        let header = SegmentHeader { number, first_batch: self.next_batch, replica: self.replica };
        let bytes =
            encode_segment_start(header, &self.hard_state, self.terms.last(), self.snapshot);
        let path = FolderListing::segment_path(&self.folder, number);
        self.file = self.folder.replace(&path, &bytes)?;
        self.path = path;
        self.size = bytes.len() as u64;
        self.spans.push_back(SegmentSpan::empty(number));
        self.next_batch = self.next_batch.next();
        Ok(())
    }

    /// Adds entries to the batch. On error, the batch is left unchanged.
    pub(crate) fn stage_entries(&mut self, entries: &[LogEntry]) -> Result<(), StorageError> {
        check_order(entries, self.terms.last().index, self.snapshot.index)?;
        self.rotate_if_full()?;
        encode_entries(entries, &mut self.buf)?;
        if let (Some(span), Some(last)) = (self.spans.back_mut(), entries.last()) {
            span.last = last.index;
        }
        for entry in entries {
            self.terms.push(Position { index: entry.index, term: entry.term });
        }
        Ok(())
    }

    /// Adds a hard state to the batch. On error, the batch is left unchanged.
    pub(crate) fn stage_hard_state(&mut self, state: HardState) -> Result<(), StorageError> {
        check_hard_state(state, self.hard_state)?;
        self.rotate_if_full()?;
        encode_hard_state(&state, &mut self.buf);
        self.hard_state = state;
        Ok(())
    }

    /// Writes and syncs the batch; does nothing if it is empty.
    pub(crate) fn commit(&mut self) -> Result<(), StorageError> {
        if self.staged() == 0 {
            return Ok(());
        }
        BatchHeader::write_header(&mut self.buf, self.next_batch, self.size as usize);
        self.folder.write(&self.file, &self.path, &self.buf)?;
        self.folder.sync(&self.file, &self.path)?;
        self.size += self.buf.len() as u64;
        self.next_batch = self.next_batch.next();
        self.buf.clear();
        // Release the memory of an exceptionally large batch.
        self.buf.shrink_to(super::limits::GROUP_COMMIT_TARGET_BYTES);
        self.buf.resize(BatchHeader::SIZE_BYTES, 0);
        Ok(())
    }

    /// Makes a durable snapshot the start of the log, and compacts the log.
    ///
    /// Entries after the snapshot are kept only if the log contains the snapshot's last entry with the same
    /// term; otherwise they conflict with the history in the snapshot.
    pub(crate) fn install_snapshot(&mut self, snapshot: Position) -> Result<(), StorageError> {
        let keeps_tail = self.terms.term_at(snapshot.index) == Some(snapshot.term);
        let kind = if keeps_tail { RecordKind::SnapshotMark } else { RecordKind::Reset };
        Record::position(kind, snapshot).encode(&mut self.buf);
        self.commit()?;
        if !keeps_tail {
            self.terms = TermRuns::after(snapshot);
            self.spans.iter_mut().for_each(|span| span.last = LogIndex::default());
        }
        self.snapshot = snapshot;
        self.compact()
    }

    /// Deletes the segments and older snapshots that the current snapshot makes obsolete.
    pub(crate) fn compact(&mut self) -> Result<(), StorageError> {
        self.terms.drop_through(self.snapshot);
        // Oldest first, because recovery rejects a gap between segments.
        while self.spans.len() > 1 && self.spans[0].last <= self.snapshot.index {
            let path = FolderListing::segment_path(&self.folder, self.spans[0].number);
            self.folder.remove(&path)?;
            self.spans.pop_front();
        }
        let listing = FolderListing::list(&self.folder)?;
        for index in listing.snapshots.into_iter().filter(|i| *i < self.snapshot.index) {
            let path = FolderListing::snapshot_path(&self.folder, index);
            self.folder.remove(&path)?;
        }
        Ok(())
    }

    /// Returns the position of the last log entry, or of the snapshot if the log is empty.
    pub(crate) fn last(&self) -> Position {
        self.terms.last()
    }

    fn last_segment(&self) -> SegmentNumber {
        self.spans.back().map_or(SegmentNumber(0), |span| span.number)
    }
}

/// Encodes the header and the first batch of a segment. The batch repeats the last position, the hard state
/// and the snapshot position, so that earlier segments can be deleted.
pub(crate) fn encode_segment_start(
    header: SegmentHeader,
    hard_state: &HardState,
    last: Position,
    snapshot: Position,
) -> Vec<u8> {
    let mut batch = vec![0; BatchHeader::SIZE_BYTES];
    Record::position(RecordKind::LastEntry, last).encode(&mut batch);
    encode_hard_state(hard_state, &mut batch);
    if snapshot != Position::default() {
        Record::position(RecordKind::SnapshotMark, snapshot).encode(&mut batch);
    }
    BatchHeader::write_header(&mut batch, header.first_batch, SegmentHeader::SIZE_BYTES);
    let mut bytes = Vec::with_capacity(SegmentHeader::SIZE_BYTES + batch.len());
    header.encode(&mut bytes);
    bytes.extend_from_slice(&batch);
    bytes
}
