use super::{
    Batch, BatchNumber, Folder, FolderListing, Replay, SegmentHeader, SegmentNumber, StorageError,
};
use masticstair_core::id::ReplicaId;
use std::path::Path;

/// Reads the segments of a log in ascending order and replays their records.
#[derive(Debug)]
pub(crate) struct SegmentReader {
    /// The replica that the segments must belong to; if `None`, the one in the first segment.
    pub(crate) replica: Option<ReplicaId>,
    /// Number of the next expected batch; `None` before the first segment.
    pub(crate) next_batch: Option<BatchNumber>,
    /// The state after the records read so far.
    pub(crate) replay: Replay,
}

impl SegmentReader {
    /// Reads a segment and returns its valid part. In the last segment a torn tail is truncated; any other
    /// corruption is an error.
    pub(crate) fn read(
        &mut self,
        folder: &Folder,
        number: SegmentNumber,
        is_last: bool,
    ) -> Result<Vec<u8>, StorageError> {
        let path = FolderListing::segment_path(folder, number);
        let mut bytes = folder.read(&path)?;
        let mut next = self.check_header(&path, number, &bytes)?;
        self.replay.begin_segment(number);
        let mut at = SegmentHeader::SIZE_BYTES;
        while at < bytes.len() {
            match Batch::decode(&bytes, at, next) {
                Ok(batch) => at = self.apply(&path, batch)?,
                Err(e) if is_last && e.is_torn(&bytes, at) => break,
                Err(e) => return Err(StorageError::damaged(&path, e.offset, e.reason)),
            }
            next = next.next();
        }
        // The first batch was synced before the segment was renamed to its final name, so it cannot be torn.
        if at == SegmentHeader::SIZE_BYTES {
            return Err(StorageError::damaged(&path, at, "the first batch is missing or torn"));
        }
        bytes.truncate(at);
        self.next_batch = Some(next);
        Ok(bytes)
    }

    fn check_header(
        &mut self,
        path: &Path,
        number: SegmentNumber,
        bytes: &[u8],
    ) -> Result<BatchNumber, StorageError> {
        let damaged = |reason: &str| StorageError::damaged(path, 0, reason);
        let header = SegmentHeader::decode(bytes)
            .ok_or_else(|| damaged("invalid magic number or checksum in the segment header"))?;
        if header.number != number {
            return Err(damaged(&format!(
                "the header has segment number {}, expected {number}",
                header.number
            )));
        }
        let replica = *self.replica.get_or_insert(header.replica);
        if header.replica != replica {
            let found = header.replica;
            return Err(damaged(&format!(
                "the segment belongs to replica {found}, expected {replica}"
            )));
        }
        let expected = self.next_batch.unwrap_or(header.first_batch);
        if header.first_batch != expected {
            let found = header.first_batch;
            return Err(damaged(&format!(
                "the header has first batch {found}, expected {expected}"
            )));
        }
        Ok(expected)
    }

    fn apply(&mut self, path: &Path, batch: Batch<'_>) -> Result<usize, StorageError> {
        for (offset, record) in batch.records {
            self.replay
                .apply(record)
                .map_err(|reason| StorageError::damaged(path, offset, reason))?;
        }
        Ok(batch.end)
    }
}
