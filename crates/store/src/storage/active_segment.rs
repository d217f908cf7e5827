use super::{BatchNumber, SegmentNumber};
use std::fs::File;

/// The segment that new batches are appended to.
pub(crate) struct ActiveSegment {
    /// Open for appending.
    pub(crate) file: File,
    pub(crate) number: SegmentNumber,
    /// Size of the file in bytes.
    pub(crate) size: u64,
    /// Number of the next batch to write.
    pub(crate) next_batch: BatchNumber,
}
