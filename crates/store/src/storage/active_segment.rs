use super::{BatchNumber, SegmentNumber};
use std::fs::File;

/// What is known of the last segment when a writer continues it.
pub(crate) struct ActiveSegment {
    /// The file, open for appending.
    pub(crate) file: File,
    /// The number of the segment.
    pub(crate) number: SegmentNumber,
    /// The size of the file.
    pub(crate) size: u64,
    /// The batch that comes next.
    pub(crate) next_batch: BatchNumber,
}
